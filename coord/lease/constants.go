package lease

import "time"

// Leases.
const (
	safetyMargin  = 120 * time.Millisecond // holder stops this much earlier: clock drift and late timers
	renewInterval = 150 * time.Millisecond // three renewals fit into a span
)

const (
	// Duration is how long a lease is granted. A grantor that restarted grants nothing for as long.
	Duration = 500 * time.Millisecond
)
