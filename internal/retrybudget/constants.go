package retrybudget

import "time"

// How a fleet shares a budget of retries: each node has its part of it, and the lender the rest.
const (
	// Margin is the fraction of the fleet's retry budget that the nodes share out; the rest covers nodes that still run
	// and are not counted.
	Margin = 0.8
	// SuspectDivisor bounds the nodes that run and are not counted: at most one in so many is taken out of the fleet size
	// because others suspect it. All of these may still run and use their old share, which Margin covers.
	SuspectDivisor = 4
	// LentFraction is the fraction of the slack that is lent; the rest stays with the nodes, for when nobody lends.
	LentFraction = 0.5
	// LoanRetries is the number of retries in one loan: what a burst of failures takes on one node.
	LoanRetries = 4
	// LoanLifetime is how long a loan lasts: a borrower that does not use it keeps it from others only so long.
	LoanLifetime = 2 * time.Second
	// LoanTimeout is how long a request waits for a loan.
	LoanTimeout = 100 * time.Millisecond
)
