// Package durations makes durations of the fractional figures that settings,
// configurations and protocol headers carry.
package durations

import "time"

// FromMilliseconds is a duration of a number of milliseconds, fractions included.
func FromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// FromSeconds is a duration of a number of seconds, fractions included.
func FromSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
