package counter

import "time"

const (
	// TickInterval is the time between two Ticks.
	TickInterval = 50 * time.Millisecond
	// PingTimeout is how long a Ping waits for its reply.
	PingTimeout = 200 * time.Millisecond
	// CallTimeout is how long a Push or a Pull waits for its reply.
	CallTimeout = 500 * time.Millisecond

	// pingInterval is the time between two pings to one member.
	pingInterval = 100 * time.Millisecond
	// slowPingInterval is that of a member without a disk, which only looks for one that has one, and of addresses that
	// never answered.
	slowPingInterval = 500 * time.Millisecond
	// relayPingInterval is the time between two pings to a member without a disk: it may have got one.
	relayPingInterval = 5 * time.Second
	// pingsToLose is how many pings in a row a member must miss to count as lost: one that was suspended itself misses one.
	pingsToLose = 3
	// refusedTimeout is how long nothing must listen at a member's address until it counts as cut off: a process that was
	// killed is started again sooner.
	refusedTimeout = 1500 * time.Millisecond
	// startTimeout is how long after a start no partition is assumed: the others may be starting too.
	startTimeout = 2 * time.Second
	// catchUpTimeout is how long after a start a member waits for what the others hold before it gives totals.
	catchUpTimeout = time.Second
	// addTimeout is how long an addition waits for its disks: callers move on after a second of silence.
	addTimeout = 800 * time.Millisecond
	// stallTimeout is how long a write may take until the disk counts as stalled.
	stallTimeout = 500 * time.Millisecond
	// pushReplyTimeout is how long a push waits for the own disk.
	pushReplyTimeout = 150 * time.Millisecond
	// retryInterval is the time between two tries of a push, a pull or a write that failed.
	retryInterval = 100 * time.Millisecond
	// pushGrace is how long a member waits for an origin's own push before it pulls from others.
	pushGrace = 300 * time.Millisecond
)

// runBytes bounds the additions in one message.
const runBytes = 64 << 10
