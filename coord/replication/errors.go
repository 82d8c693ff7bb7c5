package replication

import "github.com/cockroachdb/errors"

// The errors of this package; test for them with errors.Is. The error with which a decide function rejects a change is none of them: Propose returns it as it is.
var (
	// ErrNotPrimary is returned by Propose, Read and Confirm of a member that is not the primary, or that ceased to be it before the call began. Nothing was done: the call can be repeated at the member that Primary names.
	ErrNotPrimary = errors.New("not the primary")

	// ErrNotStarted is returned by Propose, Read and Confirm when the deadline passed while the queue of the member was full. Nothing was done.
	ErrNotStarted = errors.New("not begun in time")

	// ErrNotDecided is returned by Propose, Read and Confirm when no clear answer was reached: the change may be made or not, now or later. It wraps the cause where one is known: core.ErrDeadlineExceeded, or core.ErrTooManyPending, after which the change was surely not made.
	ErrNotDecided = errors.New("not decided")

	// ErrStopped is returned by Propose, Read and Confirm when the member's context has ended. As after ErrNotDecided, the change may be made or not.
	ErrStopped = errors.New("ending")

	// ErrNoDisk is returned by all methods of NoDisk that would have to write.
	ErrNoDisk = errors.New("this member has no disk")

	// ErrInvalidMessage says that bytes received are no message of this package. Handle logs it and drops the message.
	ErrInvalidMessage = errors.New("invalid replication message")
)
