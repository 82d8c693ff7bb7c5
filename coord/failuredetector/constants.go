package failuredetector

import (
	"time"
)

// News to the routers.
const (
	watchersPerNode = 2 // watchers of one router: one may be lost with it
	missesToSuspect = 3 // pings missed before a node is suspected: one or two are lost by chance
	retriesPerRound = 3 // parts of a round after which those that missed are asked again: three misses fit into contact_ms
)

const (
	// ReportInterval is how often the fleet size and the controllers are published, if they changed.
	ReportInterval = 500 * time.Millisecond
	// SuspectDivisor bounds suspicion: at most one in so many routers leaves the fleet size because others suspect it, since fairshare.BudgetMargin covers as many that still run.
	SuspectDivisor = 4
)
