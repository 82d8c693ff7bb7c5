package adminapi

import (
	"context"
	"time"

	"shaletrestle/internal/state"
)

// Orders is the control state as the operator sees it. Every answer that it gives without an error, and every
// refusal, holds at some moment between the call and the answer. An error of kind errkind.Unready says that
// nothing is known; errkind.NotHere says that another member answers.
type ControlState interface {
	// Primary is the control address to ask, and whether it is this process; empty if none is known to be in office.
	Primary() (address string, here bool)
	// Take makes one order; nil means that it is in force for good.
	Commit(ctx context.Context, order *ChangeRequest) error
	// Read gives the newest view, confirmed by a majority in this call.
	Read(ctx context.Context, deadline time.Time) (*state.View, error)
}

// Order is one change that the operator asks for.
type ChangeRequest struct {
	Event      state.Event
	Deadline   time.Time       // past it the order doesn't begin: its caller has gone on
	CallerGone <-chan struct{} // closed when the caller closes its connection; nil: never
}

// Over tells whether nobody waits for the order's answer any more.
func (o *ChangeRequest) Expired(now time.Time) bool {
	select {
	case <-o.CallerGone:
		return true
	default:
		return !now.Before(o.Deadline)
	}
}
