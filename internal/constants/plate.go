// Package constants holds every constant of the project, each with its unit and the reason for its value.
package constants

import "time"

// Version is what --version prints.
const Version = "0.1.0"

// EnvVar names the environment variable that holds the path of the settings file.
const EnvVar = "SHALETRESTLE_NODE_FILE"

// Ports of our own, as offsets into internal_port_range.
const (
	PortTally     = 0 // controller: crew messages
	PortTallyPage = 1 // controller: state page
	PortGate      = 2 // router: pings of watchers, UDP
	PortGatePage  = 3 // router: state page
)

// Talk between own processes.
const (
	FrameMax    = 24 << 20               // bytes; a checkpoint of a very large setup still fits
	DialWait    = 200 * time.Millisecond // an own node answers a dial in a few ms; a cut never does
	UserTimeout = 1500                   // ms; TCP_USER_TIMEOUT, so that a silent peer frees its socket
	OutboxLen   = 256                    // notes; a channel that lags this far is closed and starts over
)

// Control copies and witnesses.
const (
	BeatEvery    = 250 * time.Millisecond  // primary to members; cheap, and four fit into BeatLost
	BeatLost     = 1000 * time.Millisecond // backup takes over after this silence: four beats
	CallWait     = 500 * time.Millisecond  // one call to a member, its synced write included
	DiskWait     = 700 * time.Millisecond  // own disk slower than this: the member is no copy any more
	TransferWait = 1500 * time.Millisecond // a whole checkpoint to a backup
	WitnessLost  = 3 * time.Second         // a witness unseen this long is swapped for a learner
	HelloEvery   = 500 * time.Millisecond  // a member without a primary asks around
	LogSegment   = 2 << 20                 // bytes of log before a checkpoint; the disk has tens of MB
	StepPause    = 120 * time.Millisecond  // pause between tries of a view change; spread by the member's id
)

// Several backups.
const (
	RankWait   = 300 * time.Millisecond // each later backup takes over this much after the one before it, which needs tens of ms
	LateAnswer = 50 * time.Millisecond  // a proposer that knows too few fit members waits so long for answers beyond the majority's
	RefusedFor = 2 * time.Second        // a member that took no hand-over is not offered one for its own sake again before
	LinkBytes  = 8 << 20                // bytes a second that a call may count on: a link of 100 Mbit/s less a third
	LossesMost = 8                      // losses borne at once; more would need over 17 members
)

// Leases.
const (
	LeaseSpan   = 500 * time.Millisecond // how long a duty is granted; a restarted grantor is silent this long
	LeaseMargin = 120 * time.Millisecond // holder stops this much earlier: clock drift and late timers
	LeaseRenew  = 150 * time.Millisecond // three renewals fit into a span
	LeaseAgain  = 50 * time.Millisecond  // pause while a wanted lease is not granted yet
)

// News to the routers.
const (
	NewsBeat        = 400 * time.Millisecond  // beat on a quiet channel
	LookAgain       = 40 * time.Millisecond   // a follower without anybody to follow looks again
	NewsLost        = 1300 * time.Millisecond // three beats: the channel counts as dead
	RelayStale      = 1200 * time.Millisecond // a relay without its primary this long says so
	AckWait         = 300 * time.Millisecond  // an order's answer waits this long for routers
	NewsWindow      = 64                      // changes sent to a follower that it has not acknowledged: a fraction of OutboxLen
	SnapshotsAtOnce = 4                       // snapshots that one process sends at a time: a few hundred kilobytes each, a link carries 8 MB/s
	NewsKeep        = 512                     // deltas kept for those that come back
	FleetEvery      = 500 * time.Millisecond  // how often fleet size and control members are told, if they changed
	FleetForget     = 30 * time.Second        // a router unseen this long leaves the fleet size
	WatchersEach    = 2                       // watchers of one router: one may be lost with it
	MissesMost      = 3                       // pings missed before a node is suspected: one or two are lost by chance
	AgainPart       = 3                       // parts of a round after which those that missed are asked again: three misses fit into contact_ms
	SuspectPart     = 4                       // at most one in so many routers leaves the fleet size by suspicion: BudgetMargin covers as many that still run
)

// The platform's list.
const (
	ListEvery   = 900 * time.Millisecond // drain_ms less lag and push leaves three tries
	ListWait    = 700 * time.Millisecond // one page
	VanishTwice = 2                      // whole listings without a replica before it counts as gone
)

// Orders.
const (
	OrderWait   = 850 * time.Millisecond // from a call's arrival to its answer: callers move on after a second of silence
	HeadWait    = 3 * time.Second        // head of a call on our own ports
	IdleWait    = 15 * time.Second       // idle connection on our own ports
	HeadBytes   = 16 << 10               // bytes of a head before a setup says otherwise
	AcceptPause = 20 * time.Millisecond  // after an accept that failed, descriptors may be out
	OrderBody   = 16 << 20               // bytes; the largest configuration taken
)

// Traffic.
const (
	ReplicaDial   = 500 * time.Millisecond  // a live replica answers in a few ms
	EjectFirst    = 700 * time.Millisecond  // first ejection after a failed connection
	EjectMost     = 4 * time.Second         // later ejections double up to this
	BudgetMargin  = 0.8                     // part of the fleet's budget that nodes share out
	ColdMargin    = 0.8                     // part of warmup_per_s that nodes share out
	BodyMemory    = 0.25                    // part of memory_mb that bodies in flight may take
	CalmPart      = 0.5                     // part of the memory for bodies below which no path is held to its portion
	CollectAt     = 100                     // percent of growth before the collector runs
	SoftMemory    = 0.8                     // part of memory_mb given to the collector as its soft limit
	EventMax      = 1 << 20                 // bytes of one stream event
	AnswerMax     = 32 << 20                // bytes of one whole answer held
	RefusePart    = 0.2                     // refusals come before this part of the aim
	RetryAfter    = 0.4                     // s; told with a refusal while replicas are crowded
	RetryUnready  = 0.8                     // s; told while this process has no setup or list yet: about what a start takes
	UnreadyHold   = 1 * time.Second         // an inquiry waits this long for setup and list before it is refused: a start takes less
	SilenceGaps   = 2.5                     // a stream silent for this many target gaps is taken up elsewhere
	SilenceAims   = 3.0                     // no first event within this many aims: another replica is tried
	KeepMargin    = 300 * time.Millisecond  // an idle connection is left alone this long before its Keep-Alive ends
	KeepIdle      = 20 * time.Second        // idle connections without a Keep-Alive
	AliveIdle     = 1 * time.Second         // keep-alive probes of the kernel: a dark replica is noticed
	AliveEvery    = 1 * time.Second         // though nothing is being sent
	AliveCount    = 2                       // probes unanswered before the connection ends
	UnackedMost   = 900 * time.Millisecond  // bytes that a replica leaves unacknowledged this long end the connection
	FleetGuess    = 16                      // nodes, until control has told
	ColdNodes     = 3                       // nodes that share one cold replica
	PlaceAgain    = 25 * time.Millisecond   // pause while no replica can be used
	ChannelsGuess = 8                       // connections to a replica whose service names no limit
	GraceMargin   = 700 * time.Millisecond  // a leaving process ends this long before its grace does
	BodyWait      = 10 * time.Second        // a client may take this long over its body
	WriteWait     = 10 * time.Second        // a client that reads nothing this long is let go
	UrgencyLate   = 8                       // class of prompts that miss the aim in any case; 9 is the last
	BudgetReserve = 15 * time.Millisecond   // taken off Time-Budget-Ms for the way back
	LingerReady   = 2500 * time.Millisecond // after SIGTERM: the platform asks each second and notices at two misses
	WatchFile     = 2 * time.Second         // the settings file is looked at this often
	SendStale     = 250 * time.Millisecond  // a request whose first byte has not left this long after its checks is checked anew
	DefaultBudget = 30 * time.Second        // a request that names no budget
)

// The cache design. Starting values marked (source) are the design's, the others ours.
const (
	BlockTokens  = 16                    // tokens a block (source)
	Homes        = 3                     // rendezvous homes of a chain (source)
	Spill        = 0.85                  // occupancy above which a home is passed over (source)
	SpillAim     = 0.9                   // part of the aim that the first token may take at a home before it is passed over
	Thrash       = 0.9                   // evictions over stores that count as thrash (source)
	SecondSight  = 2                     // sightings before an entry is made (source)
	PrefillToken = 35 * time.Microsecond // per prompt token until learned (source)
	SketchWidth  = 4096                  // counters a row; thousands of live prefixes collide little
	SketchRows   = 4                     // rows of the sketch
	SketchDecay  = 20000                 // sightings after which all counts are halved
	StoreQueue   = 256                   // prefixes waiting to be entered
	IndexRuns    = 20000                 // runs kept at most over all replicas
	NearBonus    = 0.15                  // part of the slots by which another locality must be less busy
	HintContra   = 3                     // contradictions before a hint is dropped
	LearnTokens  = 1500                  // shorter prompts tell little about the time per token
	LearnDown    = 0.5                   // weight of an observation below what is believed
	LearnUp      = 0.02                  // weight of one above: it holds waiting too
	FirstBase    = 45 * time.Millisecond // time to a first token that no prompt token explains
)

// A machine of our own that turns slow.
const (
	LevelEvery = 500 * time.Millisecond // between two looks at oneself; each costs a waking-up and some 10 us
	SweepLooks = 2                      // looks after which idle connections are looked through: each second
	LevelBytes = 8 << 10                // bytes hashed as the piece of work: long against the clock's grain
	LevelTimes = 3                      // times it is done; the quickest counts, so that being busy isn't taken for being slow
	LevelFirst = 8                      // looks before a usual time is known
	LevelLearn = 1.0 / 16               // weight of a look in the usual time
	LevelEnter = 3.0                    // times the usual that is evidence; machines that are well vary by 2
	LevelLeave = 2.0                    // times the usual below which a look counts as well again
	LevelLate  = 200 * time.Millisecond // a timer this late is evidence too; well ones are late by 1 ms
	LevelBad   = 2                      // looks in a row with evidence: one is chance
	LevelGood  = 4                      // looks in a row that are well: a machine by turns slow stays out
	LevelAfter = 2                      // looks after having turned slow before another's word counts: what slows all shows at all by then
	LevelHeard = 8                      // looks for which another node's word counts: three pings
	LevelShed  = 6                      // looks out of readiness before answers close: the platform has noticed by then
)

// Connections to replicas, shares and replica health.
const (
	KeepLongest = 10 * time.Minute       // idle time that no loss has shortened: the answers' Keep-Alive decides
	KeepLeast   = 100 * time.Millisecond // no loss shortens the idle time below this: bursts still share connections
	KeepPart    = 0.7                    // part of the idle time of a forgotten connection that the others are used up to
	KeepRelax   = 10 * time.Second       // after a loss the allowed idle time doubles this often
	KeepProof   = 5 * time.Second        // so long a connection that worked shows that a shorter rest is not forgotten
	KeepDoubt   = 30 * time.Second       // so long after a loss, what may not be sent again takes young connections only
	BudgetPot   = 0.5                    // part of the slack that is lent in lumps; the rest stays with the nodes, for when nobody lends
	LumpTries   = 4                      // further tries in one lump: what a burst of failures takes on one node
	LumpSpan    = 2 * time.Second        // life of a lump: a borrower that doesn't use it keeps it from others only so long
	LumpWait    = 100 * time.Millisecond // a request waits this long for a lump
	LumpPause   = 400 * time.Millisecond // after a refusal no lump of that service is asked for
	ForgotIdle  = 50 * time.Millisecond  // a connection idle less than this was not forgotten, its reset is the replica's
)

// Replica health: weights are parts of a whole failure.
const (
	BlameReset       = 0.5                    // a connection's end: one of a burst of resets says little
	BlameCut         = 0.6                    // a spoiled answer
	BlameFailed      = 0.6                    // a 5xx: some are the request's own fault
	BlameShed        = 0.3                    // turned away: its neighbours may do so in the next moment
	BlameSlow        = 0.4                    // overdue: predictions err, but what is not repeatable may wait for it to its deadline
	BlameStale       = 0.25                   // a kept connection's reset: forgetting is no failure, but one that forgets more than its peers costs what may not be sent again
	BlameHalf        = 3 * time.Second        // own evidence halves: a node of a large fleet sees a replica every few seconds
	BlameNeed        = 1.0                    // own evidence that ejects
	BlameNeedSuspect = 0.25                   // the same for one that the fleet suspects: one failure of any kind
	PeerTimes        = 3.0                    // and it must be this many times its peers' mean
	EjectPart        = 3                      // at most one in so many of a service is out by judgement
	EpisodeHalf      = 15 * time.Second       // earlier ejections lengthen the next less and less
	SlowTimes        = 4.0                    // times the prediction that count as slow
	SlowAims         = 1.5                    // and not before this many aims: lines at busy replicas are common
	QueueSpan        = 2 * time.Second        // a replica's word that requests wait there excuses overdue ones so long
	SlowLeast        = 150 * time.Millisecond // and at least this much later
	TookOver         = 50                     // answers that the mean time of a service runs over
	WordsMost        = 32                     // replicas told of in one acknowledgement
	WordsHeld        = 1024                   // replicas that a relay holds words of until it passes them on
	WordMost         = 1e4                    // shots that one word can count, more is nonsense
	JuryHalf         = 2 * time.Second        // what nodes told halves
	TellerSpan       = 3 * time.Second        // a teller counts so long
	TellersLeast     = 2                      // one node's word is never enough
	SuspectNeed      = 1.2                    // whole failures told before a suspicion: two 500s seen by two nodes
	SuspectSpan      = 3 * time.Second        // a suspicion not repeated ends at the nodes
	SuspectMost      = 10 * time.Second       // a suspicion ends; a new one needs new failures
	SuspectPass      = 0.1                    // part of the shots that a suspect still gets, of those that may not be sent again
	SuspectBold      = 0.6                    // and of those that may: the fleet's trial of it
	AcquitGood       = 5.0                    // answers that work before a suspicion ends
	AcquitPart       = 0.15                   // failures among them that are borne
	StatLeast        = 0.05                   // less than this is not shown, and forgotten
)

// Placement of prompts: the cost's options and the search for candidates.
const (
	CreditHeld   = 1.0             // blocks of credit for a block that the index names (source)
	RereadWeight = 16.0            // blocks that a shared block counts for: reading it where it is not kept costs its time, and room and wavering besides
	PrefillScale = 64.0            // prefill_load_scale: decode blocks that weigh as much as one block to be read; memory held hardly slows a step, reading does
	ActiveWeight = 64.0            // decode blocks that one active request counts for: about a block's reading, for its part of each step
	AwayBlocks   = 16.0            // blocks to be read that another locality counts for: a way there and back takes about as long
	DecayBlocks  = 0.0             // blocks in line at which credit is halved; 0: it does not decay, the line itself already weighs against it
	HomeDepth    = 32              // replicas a bucket keeps, among which homes are ranked by the key itself: their number evens the load out
	HomeBuckets  = 4096            // buckets of keys with their replicas in rendezvous order, filled when first used
	HoldersMost  = 6               // replicas named by the index that become candidates
	HoldersSeen  = 24              // and entries looked at to find them
	Samples      = 4               // random candidates, half of them from the own locality
	SampleTries  = 12              // draws for one random candidate before all replicas are looked through
	ToldSpan     = 2 * time.Second // a replica's own word on its load fades to the service's mean over this time
	ToldWait     = 1 * time.Second // and its word on its waiting line to nothing over this
	ExtraSpan    = 2 * time.Second // a delay seen at a replica is forgotten after this
	ExtraFade    = 2.0             // and has faded by e at one in so many seconds
	RateSlice    = 0.03            // weight of one observation in a replica's reading rate beside the mean; waiting is in it, so one says little
	RateBand     = 0.1             // a difference from the mean up to this is taken for chance
	RateMost     = 2.0             // a replica counts as at most this much slower or quicker than the service's mean
	HolderSlice  = 0.02            // weight of one prompt in the mean of what a request holds
)

// What waits at the replicas, told through the fleet.
const (
	DeckTell   = 80 * time.Millisecond   // a node tells its relay this often, if anything changed: a prompt is read in some 100 ms
	DeckPush   = 110 * time.Millisecond  // a relay or the primary passes sums on this often
	DeckStale  = 800 * time.Millisecond  // a source that has said nothing this long counts no more
	DeckAgain  = 400 * time.Millisecond  // what didn't change is told again after this
	DeckSpan   = 1000 * time.Millisecond // a sum fades to nothing over this time
	DeckMost   = 96                      // piles in a note on its way up, the heaviest: under 1 KB
	DeckSpread = 32                      // and in one to all: 2.3 KB/s at a node
	DeckMean   = 1.3                     // times the service's mean, and
	DeckLeast  = 4000                    // tokens more: what waits beyond that counts
)

// Long work between nodes (package handoff, docs/long-work.md).
const (
	LongPatient  = 8.0                    // aims; a route whose timeout is this long has people who can wait
	LongHeavy    = 4.0                    // aims; a request that runs this long is long work
	LongTakes    = 4                      // jobs of others at once: each holds a body and a stream
	LongTakeMost = 256                    // jobs; no setting may allow more
	LongTick     = 50 * time.Millisecond  // what has fallen due is looked for; a late tick shows a late processor
	LongCalm     = 250 * time.Millisecond // the same while nothing can fall due: lateness is looked for
	LongReport   = 10 * time.Second       // the counters are logged this often at most, if they changed
	LongOff      = 2 * time.Second        // the same while it is switched off: only a reload is looked for
	LongAnswer   = 60 * time.Millisecond  // an offer is void after this: a few round trips; a request that must be refused sooner is not offered
	LongAccept   = 500 * time.Millisecond // room kept for a go-ahead: two repeats of it fit
	LongRenew    = 200 * time.Millisecond // go-aheads are repeated: five fit into a lease
	LongLease    = 1 * time.Second        // silence after which the other side counts as lost
	LongGraves   = 64                     // ended jobs that a taker can still answer for; each is some hundred bytes
	LongInbox    = 256                    // pieces that wait for a slow client before its job is dropped
	LongWaiting  = 16                     // long jobs of a service that wait at once: each waits a fifth of its aim at most
	LongRoom     = 32.0                   // long jobs of a service that may run at once, until it is learned
	LongLate     = 0.9                    // part of the aim above which the first event of prompt work counts as late
	LongMost     = 0.03                   // share of prompt answers that may be late before long work gives way: burst and bad luck give some hundredths
	LongWeight   = 0.01                   // of the newest answer in that share: the last hundred count
	LongCut      = 0.8                    // the learned bound is cut to this part when prompt work is late
	LongGrow     = 0.05                   // and grows by this for each prompt answer in time: one job for twenty
	LongPause    = 500 * time.Millisecond // between two cuts: what a cut does shows in the next answers
	LongHalf     = 0.5                    // part of the slots taken below which nothing is held back
	LongTold     = 1 * time.Second        // a replica's word on its load counts for so long
	LongLag      = 40 * time.Millisecond  // ticks this late show a crowded processor
	LongFade     = 0.8                    // part of the lateness that stays from tick to tick
	LongShort    = 1 * time.Second        // a connection that could not be had shows a crowded node for so long
	LongKnown    = 2 * time.Second        // a neighbour's room is believed for so long: some beats
	UrgencyLong  = 9                      // class of long work at replicas: the last
)

// The emulator and load tool (emulator). Values marked (default) can be set in an experiment.
const (
	YardMemoryMB    = 244                    // memory_mb told to the daemons
	YardPorts       = 8                      // ports that every emulated machine needs: six are used
	YardFind        = 64                     // tries to find free addresses
	YardHosts       = 4000                   // emulated machines at most
	YardDuration    = 600                    // s; longest experiment
	YardRequests    = 200000                 // requests of one experiment at most
	YardRate        = 5000                   // requests a second of one kind at most
	YardReplicas    = 2000                   // replicas at most
	YardNodes       = 400                    // daemons at most
	YardReadyWait   = 10 * time.Second       // (default) replicas and daemons must be up by then
	YardLook        = 10 * time.Millisecond  // pause between looks at something that is awaited
	YardLag         = 300 * time.Millisecond // (default) the platform's list runs this much behind
	YardListRate    = 40                     // (default) calls a second that the platform takes
	YardPage        = 50                     // (default) entries of a page of its list
	YardCrashSeen   = 2 * time.Second        // a crashed replica stays on the list this long
	YardDrain       = 3 * time.Second        // a draining replica serves on this long
	YardReportLag   = 200 * time.Millisecond // a replica's report is this old
	YardKeepIdle    = 15 * time.Second       // a replica closes an idle connection after this
	YardSlots       = 16                     // (default) requests a replica runs at once
	YardQueue       = 16                     // (default) requests it queues beyond
	YardWork        = 15 * time.Millisecond  // (default) work of a request without an engine
	YardStep        = 8 * time.Millisecond   // (default) batch step: a small model's on one accelerator, about 120 tokens a second
	YardEach        = 150 * time.Microsecond // (default) what a further request adds to it
	YardPrefill     = 12000                  // (default) prompt tokens a second: of the order of 1/PrefillToken
	YardChunk       = 1024                   // (default) prompt tokens between two tokens of the others
	YardMemory      = 60000                  // (default) tokens of memory
	YardChannels    = 200                    // (default) connections that a replica takes
	YardTries       = 4                      // tries of a client within its deadline
	YardDial        = 1 * time.Second        // a client gives a new connection this long
	YardTimeout     = 10 * time.Second       // (default) deadline of a request
	YardAim         = 1 * time.Second        // (default) time within which an answer is in time
	YardGap         = 500 * time.Millisecond // (default) pause between events that is still in time
	YardGrey        = 3                      // a grey replica fails one request in so many, one with resets likewise
	YardFlap        = 700 * time.Millisecond // a flapping replica is up and down in turn for this long
	YardSlow        = 8                      // a lying replica works so many times slower than it says
	YardLatencyMost = 10 * 60 * 1000000      // µs; largest value of a histogram
	YardDigits      = 3                      // its significant digits
	YardWindow      = 8 * time.Second        // a hollow fleet is measured this long, some twenty beats of the news, after it was left alone for half of it
	YardTimed       = 8                      // changes whose way to every node is timed
	YardLine        = 1 << 20                // bytes of a line from a cell
	YardProgress    = 1 * time.Second        // progress is printed this often
)
