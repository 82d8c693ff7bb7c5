package lease

import "time"

const (
	// Duration is how long a lease is granted. A grantor that restarted grants nothing for as long.
	Duration = 500 * time.Millisecond
	// safetyMargin is how much earlier than the grantors a holder takes its lease for ended, for clocks that drift.
	safetyMargin = 120 * time.Millisecond
	// renewInterval is the time between renewals: three fit into Duration.
	renewInterval = 150 * time.Millisecond
)
