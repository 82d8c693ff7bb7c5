// Package clock is the project's only door to time: the steady clock, timers and tickers.
package clock

import (
	"time"

	"shaletrestle/internal/task"
)

// Time is a point on the steady clock.
type Time = time.Time

// Duration is a length of time.
type Duration = time.Duration

// Now reads the steady clock.
func Now() Time { return time.Now() }

// Wall reads the time of day; nothing but what people are shown may depend on it.
func Wall() Time { return time.Now().Round(0) }

// Since is the time passed since m.
func Since(m Time) Duration { return time.Since(m) }

// Until is the time left to m.
func Until(m Time) Duration { return time.Until(m) }

// Millis makes a span of milliseconds.
func Millis(ms float64) Duration { return Duration(ms * float64(time.Millisecond)) }

// Seconds makes a span of seconds.
func Seconds(s float64) Duration { return Duration(s * float64(time.Second)) }

// After gives a channel that fires once.
func After(d Duration) <-chan Time { return time.After(d) }

// Later calls f in its own task after d; the timer may be stopped or set anew.
func Later(d Duration, f func()) *time.Timer { return time.AfterFunc(d, f) }

// Rest waits for d or until the scope ends; false means that it ended.
func Rest(sc *task.Scope, d Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-sc.Done():
		return false
	}
}

// Every calls f each d until the scope ends or f says false.
func Every(sc *task.Scope, d Duration, f func() bool) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if !f() {
				return
			}
		case <-sc.Done():
			return
		}
	}
}

// Timer fires once.
type Timer struct {
	C <-chan Time
	t *time.Timer
}

// NewTimer makes a timer.
func NewTimer(d Duration) Timer {
	t := time.NewTimer(d)
	return Timer{t.C, t}
}

// Stop ends a timer.
func (t Timer) Stop() { t.t.Stop() }
