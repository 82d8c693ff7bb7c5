package failuredetector

import "time"

const (
	// watchersPerNode is how many others watch a node: one may be lost with it.
	watchersPerNode = 2
	// missesToSuspect is how many pings in a row a node misses before it is suspected: one or two are lost by chance.
	missesToSuspect = 3
	// retriesPerRound divides a round: nodes that missed a ping are pinged again after each part, so that they miss
	// enough to be suspected within two rounds.
	retriesPerRound = 3
)

const (
	// ReportInterval is how often the receiver of reports publishes who is alive, if that changed.
	ReportInterval = 500 * time.Millisecond
	// SuspectDivisor bounds what suspicions may do: at most one in so many nodes is taken out of the fleet size because
	// others suspect it. As many may still run, which fairshare.BudgetMargin covers.
	SuspectDivisor = 4
)
