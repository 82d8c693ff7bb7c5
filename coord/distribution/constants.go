package distribution

import "time"

const (
	// reconnectDelay is the pause before the next source is dialled.
	reconnectDelay = 120 * time.Millisecond
	// noSourceDelay is the pause before a follower that knows no source asks again for one.
	noParentDelay = 40 * time.Millisecond
	// updateTimeout ends a channel on which nothing came for so long: three heartbeats.
	updateTimeout = 1300 * time.Millisecond
	// relayStaleAfter is how long a relay counts as current after it heard of the primary: three heartbeats.
	relayStaleAfter = 1200 * time.Millisecond
	// ackWindow is how many changes are sent to a follower beyond those that it has acknowledged: a fraction of the
	// messages that a channel queues.
	ackWindow = 64
	// snapshotsAtOnce is how many snapshots one process sends at a time: each has a few hundred kilobytes, a link
	// carries 8 MB/s.
	snapshotsAtOnce = 4
	// changeHistory is how many changes are kept for followers that come back.
	changeHistory = 512
)

// HeartbeatInterval is the time between heartbeats on a channel that carries nothing else.
const HeartbeatInterval = 400 * time.Millisecond
