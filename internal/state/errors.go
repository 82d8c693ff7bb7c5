package state

import (
	"errors"
	"fmt"
)

// RevisionConflictError rejects a change of the configuration that was not built on the current revision.
type RevisionConflictError struct {
	Base    int64 // the revision that it was built on
	Current int64
}

func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("version %d is current", e.Current)
}

// UnknownKindError says that an event is of no kind known to this version.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown event %q", string(e.Kind)) }

// Errors of a stored history that no version writes.
var (
	ErrHistoryTruncated = errors.New("history of changes is truncated")
	ErrHistoryUnordered = errors.New("history of changes is out of order")
)

// PartError says that a part of a view can't be used.
type PartError struct {
	Part string // its name
	Err  error  // ErrUnknownPart, ErrMissingPart, or what is wrong with its content
}

func (e *PartError) Error() string { return fmt.Sprintf("part %q: %v", e.Part, e.Err) }

func (e *PartError) Unwrap() error { return e.Err }

// Errors of parts.
var (
	ErrUnknownPart = errors.New("not known to this version")
	ErrMissingPart = errors.New("is missing")
)
