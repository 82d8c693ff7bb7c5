package adminapi

import (
	"context"
	"time"

	"shaletrestle/internal/state"
)

// ControlState is the replicated state as the operator sees it. Its errors carry a kind of package errkind. Unavailable
// says that nothing is known: a change may have been made or not. NotPrimary says that another member answers. All other
// results, rejections included, are linearizable: they are true at some moment between the call and its end.
type ControlState interface {
	// Primary is the control address to ask, and whether it is this process; empty if none is known to be primary.
	Primary() (address string, here bool)
	// Commit makes one change; no error means that it is committed.
	Commit(ctx context.Context, request *ChangeRequest) error
	// Read gives the newest view, confirmed by a majority of the witnesses in this call.
	Read(ctx context.Context, deadline time.Time) (*state.View, error)
}

// ChangeRequest is one change that the operator asks for.
type ChangeRequest struct {
	Event      state.Event
	Deadline   time.Time       // past it the change is not begun: its caller has gone on
	CallerGone <-chan struct{} // closed when the caller closes its connection; nil: never
}

// Expired reports whether nobody waits for the answer any more.
func (r *ChangeRequest) Expired(now time.Time) bool {
	select {
	case <-r.CallerGone:
		return true
	default:
		return !now.Before(r.Deadline)
	}
}
