package distribution

import "github.com/cockroachdb/errors"

// What the errors of this package say; ask with errors.Is.
var (
	// ErrStale says that a snapshot is older than the state that it was meant for, or of an epoch in which this process
	// is the source itself.
	ErrStale = errors.New("stale snapshot")
	// ErrInvalidSnapshot says that a snapshot in parts, a list of parts or a compressed change can't be used as it came:
	// it is damaged, or its parts are not those that it lists.
	ErrInvalidSnapshot = errors.New("invalid snapshot")
	// ErrNoParent says that a follower has not reached any parent yet.
	ErrNoParent = errors.New("no parent reached yet")
)

// Why a follower does not take an update that is as it should be.
var (
	// errOtherContent says that the state here is not the one that was offered.
	errOtherContent = errors.New("other content")
	// errDoesNotFollow says that an update does not follow on what is here, or that the parent is not current.
	errDoesNotFollow = errors.New("does not follow")
)
