package adminapi

import (
	"context"
	"time"

	"shaletrestle/internal/state"
)

// ControlState is the replicated state as the operator sees it. What a call gives without an error, and what an error
// says that is not of the kinds below, holds at some moment between the call and its end. Errors carry a kind of
// package errkind: Unavailable says that nothing is known, so that a change may have been made or not; NotPrimary that
// another member answers.
type ControlState interface {
	// Primary is the control address to ask, and whether it is this process; empty if none is known to be primary.
	Primary() (address string, here bool)
	// Commit makes one change; no error means that it is committed.
	Commit(ctx context.Context, request *ChangeRequest) error
	// Read gives the newest view, confirmed by a majority in this call.
	Read(ctx context.Context, deadline time.Time) (*state.View, error)
}

// ChangeRequest is one change that the operator asks for.
type ChangeRequest struct {
	Event      state.Event
	Deadline   time.Time       // past it the change is not begun: its caller has gone on
	CallerGone <-chan struct{} // closed when the caller closes its connection; nil: never
}

// Expired tells whether nobody waits for the answer any more.
func (r *ChangeRequest) Expired(now time.Time) bool {
	select {
	case <-r.CallerGone:
		return true
	default:
		return !now.Before(r.Deadline)
	}
}
