package rpc

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// What the errors of this package say; ask with errors.Is.
var (
	// ErrClosed says that the channel closed before an answer came: the call may have been handled or not.
	ErrClosed = errors.New("channel closed")
	// ErrTimeout says that no answer came in time: the call may have been handled or not.
	ErrTimeout = errors.New("no answer in time")
	// ErrUnreachable says that there is no channel to the address, so that nothing was sent.
	ErrUnreachable = errors.New("address unreachable")
	// ErrInvalidMessage says that bytes that came in are no frame or no message.
	ErrInvalidMessage = errors.New("invalid message")
)

// DialError tells which address could not be dialled and why. It is an ErrUnreachable.
type DialError struct {
	Address string
	Err     error // of Net.Dial
}

// Error names the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Is makes a DialError an ErrUnreachable.
func (e *DialError) Is(target error) bool { return target == ErrUnreachable }
