package loadsum

import "time"

const (
	// staleAfter is how long the newest report of a source counts.
	staleAfter = 800 * time.Millisecond
	// maxTotalLoads bounds a sum, as it goes from a relay to the primary, to its heaviest loads: below 1 KB.
	maxTotalLoads = 96
	// maxExcessLoads bounds what goes to all nodes: 2.3 KB/s at a node.
	maxExcessLoads = 32
	// usualFactor and usualTokens say what is usual at a replica: so many times the mean of its service, and so many tokens
	// more.
	usualFactor = 1.3
	usualTokens = 4000
)
