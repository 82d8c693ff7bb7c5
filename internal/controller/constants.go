package controller

import "time"

// Leases.
const (
	leaseAgain = 50 * time.Millisecond // pause while a wanted lease is not granted yet
)

// News to the routers.
const (
	ackWait     = 300 * time.Millisecond // an order's answer waits this long for routers
	fleetForget = 30 * time.Second       // a router unseen this long leaves the fleet size
)

// Replica health: weights are parts of a whole failure.
const (
	wordsHeld = 1024 // replicas that a relay holds words of until it passes them on
)

// What waits at the replicas, told through the fleet.
const (
	deckPush = 110 * time.Millisecond // a relay or the primary passes sums on this often
)
