package distribution

import "github.com/cockroachdb/errors"

// What the errors of this package say; ask with errors.Is.
var (
	// ErrStale says that a snapshot is older than the state that it was meant for, or of an epoch in which this process
	// is the source itself.
	ErrStale = errors.New("stale snapshot")
	// ErrNoParent says that a follower has not reached any parent yet.
	ErrNoParent = errors.New("no parent reached yet")
)
