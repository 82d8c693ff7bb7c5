package loadsum

import "time"

// What waits at the replicas, told through the fleet.
const (
	deckStale  = 800 * time.Millisecond // a source that has said nothing this long counts no more
	deckMost   = 96                     // piles in a note on its way up, the heaviest: under 1 KB
	deckSpread = 32                     // and in one to all: 2.3 KB/s at a node
	deckMean   = 1.3                    // times the service's mean, and
	deckLeast  = 4000                   // tokens more: what waits beyond that counts
)
