package distribution

import "time"

const (
	// reconnectDelay is the pause before the next parent is dialled, so that one that closes at once isn't dialled
	// in a tight loop.
	reconnectDelay = 120 * time.Millisecond
	// noParentDelay is the pause before NextParent is asked again after it named none.
	noParentDelay = 40 * time.Millisecond
	// updateTimeout ends a channel on which nothing came for so long: three heartbeats, and 100 ms for their delay.
	updateTimeout = 1300 * time.Millisecond
	// relayStaleAfter is how long a relay counts as current after its parent last said that it is: three heartbeats.
	relayStaleAfter = 1200 * time.Millisecond
	// ackWindow is how many changes are sent to a follower beyond those that it has acknowledged: a quarter of the
	// messages that an rpc.Channel queues before it closes, so that a slow follower is never cut off for its lag.
	ackWindow = 64
	// snapshotsAtOnce is how many snapshots one process sends at a time: each has a few hundred kilobytes, a link
	// carries 8 MB/s.
	snapshotsAtOnce = 4
	// changeHistory bounds the changes kept for followers that reconnect; beyond it the older half is dropped.
	changeHistory = 512
)

// HeartbeatInterval is the time between heartbeats on a channel that carries nothing else.
const HeartbeatInterval = 400 * time.Millisecond
