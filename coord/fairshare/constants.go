package fairshare

import "time"

// How a fleet shares a budget of retries: each node has its part of it, and the lender the rest.
const (
	// BudgetMargin is the fraction of the fleet's retry budget that the nodes share out; the rest covers nodes that
	// still run and are not counted.
	BudgetMargin = 0.8
	// LentFraction is the fraction of the slack that is lent; the rest stays with the nodes, for when nobody lends.
	LentFraction = 0.5
	// LoanRetries is the number of retries in one loan: what a burst of failures takes on one node.
	LoanRetries = 4
	// LoanLifetime is how long a loan lasts: a borrower that does not use it keeps it from others only so long.
	LoanLifetime = 2 * time.Second
	// LoanTimeout is how long a request waits for a loan.
	LoanTimeout = 100 * time.Millisecond
)

// CalmFraction is the usual threshold of Shares: the fraction of a resource in use below which nobody is held to a share.
const CalmFraction = 0.5
