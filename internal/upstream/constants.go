package upstream

import "time"

// Traffic.
const (
	dialTimeout     = 500 * time.Millisecond // a live replica answers in a few ms
	maxEventBytes   = 1 << 20                // bytes of one stream event
	keepAliveMargin = 300 * time.Millisecond // an idle connection is left alone this long before its Keep-Alive ends
	defaultIdleTime = 20 * time.Second       // idle connections without a Keep-Alive
)

// Connections to replicas, shares and replica health.
const (
	maxIdleTime       = 10 * time.Minute       // idle time that no loss has shortened: the answers' Keep-Alive decides
	minIdleTime       = 100 * time.Millisecond // no loss shortens the idle time below this: bursts still share connections
	staleIdleFraction = 0.7                    // part of the idle time of a forgotten connection that the others are used up to
	idleGrowth        = 10 * time.Second       // after a loss the allowed idle time doubles this often
	reuseLifetime     = 5 * time.Second        // so long a connection that worked shows that a shorter rest is not forgotten
	cautionTime       = 30 * time.Second       // so long after a loss, what may not be sent again takes young connections only
	minStaleIdle      = 50 * time.Millisecond  // a connection idle less than this was not forgotten, its reset is the replica's
)

const (
	// MaxAnswerBytes bounds one complete answer held in memory.
	MaxAnswerBytes = 32 << 20
	// KeepAliveIdle is the idle time before the kernel's first keep-alive probe, by which a dark replica is noticed though nothing is being sent.
	KeepAliveIdle = 1 * time.Second
	// KeepAliveInterval is the time between keep-alive probes.
	KeepAliveInterval = 1 * time.Second
	// KeepAliveProbes is the number of unanswered probes that end a connection.
	KeepAliveProbes = 2
	// UnacknowledgedTimeout ends a connection on which a replica leaves sent bytes unacknowledged this long.
	UnacknowledgedTimeout = 900 * time.Millisecond
)
