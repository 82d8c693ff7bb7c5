package router

import "time"

// Ports of our own, as offsets into internal_port_range.
const (
	routerPort = 2 // router: pings of watchers, UDP
)

// Traffic.
const (
	coldStartMargin    = 0.8                     // part of warmup_per_s that nodes share out
	bodyMemoryFraction = 0.25                    // part of memory_mb that bodies in flight may take
	rejectFraction     = 0.2                     // refusals come before this part of the aim
	retryAfterS        = 0.4                     // s; told with a refusal while replicas are crowded
	retryAfterUnreadyS = 0.8                     // s; told while this process has no setup or list yet: about what a start takes
	readyTimeout       = 1 * time.Second         // an inquiry waits this long for setup and list before it is refused: a start takes less
	silenceGaps        = 2.5                     // a stream silent for this many target gaps is taken up elsewhere
	silenceAims        = 3.0                     // no first event within this many aims: another replica is tried
	defaultFleetSize   = 16                      // nodes, until control has told
	coldStartNodes     = 3                       // nodes that share one cold replica
	placeRetryInterval = 25 * time.Millisecond   // pause while no replica can be used
	defaultConnections = 8                       // connections to a replica whose service names no limit
	bodyTimeout        = 10 * time.Second        // a client may take this long over its body
	writeTimeout       = 10 * time.Second        // a client that reads nothing this long is let go
	urgencyMissed      = 8                       // class of prompts that miss the aim in any case; 9 is the last
	budgetReserve      = 15 * time.Millisecond   // taken off Time-Budget-Ms for the way back
	readinessLinger    = 2500 * time.Millisecond // after SIGTERM: the platform asks each second and notices at two misses
	checkLifetime      = 250 * time.Millisecond  // a request whose first byte has not left this long after its checks is checked anew
	defaultBudget      = 30 * time.Second        // a request that names no budget
)

// A machine of our own that turns slow.
const (
	sweepEvery = 2 // looks after which idle connections are looked through: each second
)

// What waits at the replicas, told through the fleet.
const (
	loadSumInterval = 80 * time.Millisecond  // a node tells its relay this often, if anything changed: a prompt is read in some 100 ms
	loadSumRepeat   = 400 * time.Millisecond // what didn't change is told again after this
)

// Long work between nodes (package handoff, docs/long-work.md).
const (
	longTick    = 50 * time.Millisecond  // what has fallen due is looked for; a late tick shows a late processor
	longCalm    = 250 * time.Millisecond // the same while nothing can fall due: lateness is looked for
	longReport  = 10 * time.Second       // the counters are logged this often at most, if they changed
	longOff     = 2 * time.Second        // the same while it is switched off: only a reload is looked for
	longAnswer  = 60 * time.Millisecond  // an offer is void after this: a few round trips; a request that must be refused sooner is not offered
	longAccept  = 500 * time.Millisecond // room kept for a go-ahead: two repeats of it fit
	longRenew   = 200 * time.Millisecond // go-aheads are repeated: five fit into a lease
	longLease   = 1 * time.Second        // silence after which the other side counts as lost
	longGraves  = 64                     // ended jobs that a taker can still answer for; each is some hundred bytes
	longInbox   = 256                    // pieces that wait for a slow client before its job is dropped
	longWaiting = 16                     // long jobs of a service that wait at once: each waits a fifth of its aim at most
	longRoom    = 32.0                   // long jobs of a service that may run at once, until it is learned
	longLate    = 0.9                    // part of the aim above which the first event of prompt work counts as late
	longMost    = 0.03                   // share of prompt answers that may be late before long work gives way: burst and bad luck give some hundredths
	longWeight  = 0.01                   // of the newest answer in that share: the last hundred count
	longCut     = 0.8                    // the learned bound is cut to this part when prompt work is late
	longGrow    = 0.05                   // and grows by this for each prompt answer in time: one job for twenty
	longPause   = 500 * time.Millisecond // between two cuts: what a cut does shows in the next answers
	longHalf    = 0.5                    // part of the slots taken below which nothing is held back
	longTold    = 1 * time.Second        // a replica's word on its load counts for so long
	longLag     = 40 * time.Millisecond  // ticks this late show a crowded processor
	longFade    = 0.8                    // part of the lateness that stays from tick to tick
	longShort   = 1 * time.Second        // a connection that could not be had shows a crowded node for so long
	longKnown   = 2 * time.Second        // a neighbour's room is believed for so long: some beats
	urgencyLong = 9                      // class of long work at replicas: the last
)
