package distribution

import "time"

// Control copies and witnesses.
const (
	stepPause = 120 * time.Millisecond // pause between tries of a view change; spread by the member's id
)

// News to the routers.
const (
	lookAgain       = 40 * time.Millisecond   // a follower without anybody to follow looks again
	updateTimeout   = 1300 * time.Millisecond // three beats: the channel counts as dead
	relayStale      = 1200 * time.Millisecond // a relay without its primary this long says so
	ackWindow       = 64                      // changes sent to a follower that it has not acknowledged: a fraction of OutboxLen
	snapshotsAtOnce = 4                       // snapshots that one process sends at a time: a few hundred kilobytes each, a link carries 8 MB/s
	keepChanges     = 512                     // deltas kept for those that come back
)

const (
	// HeartbeatInterval is the time between heartbeats on a channel that carries nothing else.
	HeartbeatInterval = 400 * time.Millisecond
)
