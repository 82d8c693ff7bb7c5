package controller

import (
	"errors"
	"fmt"

	"shaletrestle/coord/replication"
	"shaletrestle/internal/config"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// Errors of a change that the operator asked for. Their texts are those of the answers.
var (
	// ErrAbandoned rejects a change whose caller doesn't wait for the answer any more; it was not begun.
	ErrAbandoned = errors.New("nobody waits for the answer any more")
	// ErrSuperseded says that another change of the same revision is in force.
	ErrSuperseded = errors.New("another order on this version is in force")
)

// OutcomeUnknownError says that a change is older than the history: it may have been committed or not.
type OutcomeUnknownError struct{ Base int64 } // the revision that it was built on

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether an order on version %d was taken is no longer known", e.Base)
}

// kindOf is the table from the errors of the control side to the kinds, and so the HTTP status, of the answers. A kind
// that the error carries already goes first; an error without one that is not in the table is Internal.
func kindOf(err error) errkind.Kind {
	if kind := errkind.KindOf(err); kind != errkind.Internal {
		return kind
	}
	var (
		outcomeUnknown *OutcomeUnknownError
		conflict       *state.RevisionConflictError
		unknownKind    *state.UnknownKindError
		invalid        *config.InvalidError
	)
	switch {
	case errors.Is(err, replication.ErrNotPrimary):
		return errkind.NotPrimary
	case errors.Is(err, replication.ErrNotStarted), errors.Is(err, replication.ErrNotDecided), errors.Is(err, replication.ErrStopped),
		errors.Is(err, ErrAbandoned), errors.Is(err, ErrSuperseded), errors.As(err, &outcomeUnknown):
		return errkind.Unavailable
	case errors.As(err, &conflict):
		return errkind.VersionConflict
	case errors.As(err, &invalid), errors.As(err, &unknownKind):
		return errkind.InvalidInput
	}
	return errkind.Internal
}

// withKind gives an error its kind and leaves its text.
func withKind(err error) error { return errkind.With(kindOf(err), err) }
