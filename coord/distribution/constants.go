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
	// snapshotWindowBytes bounds the snapshots that one process has under way, but for one that is larger by itself: a link
	// of 10 Mbit/s carries so much in a fifth of a second, and changes wait behind it no longer.
	snapshotWindowBytes = 256 << 10
	// slowLinkBytesPerSecond is the rate that a follower's time for its snapshot is reckoned with: the slowest link that
	// processes are run on, of 10 Mbit/s, less a fifth. A follower that is gone is noticed by its connection.
	slowLinkBytesPerSecond = 1 << 20
	// snapshotsCached bounds the encoded snapshots kept for followers that lack different parts.
	snapshotsCached = 8
	// compressFromBytes is the size of a change from which it is compressed.
	compressFromBytes = 512
	// decodedLimitBytes bounds what is decompressed from one message, as rpc bounds its frames.
	decodedLimitBytes = 24 << 20
	// changeHistory bounds the changes kept for followers that reconnect; beyond it the older half is dropped.
	changeHistory = 512
)

// HeartbeatInterval is the time between heartbeats on a channel that carries nothing else.
const HeartbeatInterval = 400 * time.Millisecond
