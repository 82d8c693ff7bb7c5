// Package wait has waits that end with a context. Its functions have no state and are safe for concurrent use; they
// start no goroutine.
package wait

import (
	"context"
	"time"
)

// Sleep waits for a duration and returns true, or false at once when the context ends first. A duration of zero or less
// doesn't wait; if the context has ended as well, the result may be either.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f once each interval, the first time after one interval, until the context ends or f returns false. An
// interval that isn't positive panics. Ticks that pass while f runs are dropped, but one: f may be called again at once then. It
// may be called once more after the context has ended.
func Every(ctx context.Context, interval time.Duration, f func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !f() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
