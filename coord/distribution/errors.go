package distribution

import "github.com/cockroachdb/errors"

var (
	// ErrStale says that a snapshot is older than the state that would take it.
	ErrStale = errors.New("stale snapshot")
	// ErrNoSource says that a follower has not reached any source yet.
	ErrNoSource = errors.New("no source is followed")
)
