package failuredetector

const (
	// watchersPerNode is how many others watch a node: one of them may be lost together with it.
	watchersPerNode = 2
	// missesToSuspect is how many pings in a row a node misses before it is suspected: one or two are lost by chance.
	missesToSuspect = 3
	// retriesPerRound divides a round: nodes that missed a ping are pinged again after each part, so that they miss
	// enough to be suspected within two rounds.
	retriesPerRound = 3
)
