package adminapi

import "time"

const (
	takeoverLook   = 20 * time.Millisecond   // between two looks for a new primary
	takeoverWait   = 1500 * time.Millisecond // a takeover that succeeds has ended so long after the loss was noticed
	takeoverLeaves = 200 * time.Millisecond  // what an order needs of its time once there is a primary
	largeBody      = 256 << 10               // bytes; callers wait longer for the answer to more
	afterLargeBody = 500 * time.Millisecond  // time that an order with a large body has from its end, at least
)

// Orders.
const (
	orderWait = 850 * time.Millisecond // from a call's arrival to its answer: callers move on after a second of silence
)

const (
	// MaxConfigurationBytes is the size of the largest configuration accepted.
	MaxConfigurationBytes = 16 << 20
)
