// Package wait has waits that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for duration. It returns false at once when the context ends
// first; a duration of zero or less returns true unless the context has ended.
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

// Every calls f once each interval, the first time after one interval, until
// the context ends or f returns false. The interval must be positive. Ticks
// that pass while f runs are dropped.
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
