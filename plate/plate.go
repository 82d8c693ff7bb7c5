// Package plate holds every constant of the project, each with its unit and the reason for its value.
package plate

import "time"

// Version is what --version prints.
const Version = "0.1.0"

// EnvVar names the environment variable that holds the path of the settings file.
const EnvVar = "SHALETRESTLE_NODE_FILE"

// Ports of our own, as offsets into internal_port_range.
const (
	PortTally     = 0 // tallyhouse: crew messages
	PortTallyPage = 1 // tallyhouse: state page
	PortGate      = 2 // gatehouse: pings of watchers, UDP
	PortGatePage  = 3 // gatehouse: state page
)

// Talk between own processes.
const (
	FrameMax    = 24 << 20               // bytes; a checkpoint of a very large setup still fits
	DialWait    = 200 * time.Millisecond // an own node answers a dial in a few ms; a cut never does
	UserTimeout = 1500                   // ms; TCP_USER_TIMEOUT, so that a silent peer frees its socket
	OutboxLen   = 256                    // notes; a channel that lags this far is closed and starts over
)

// Control pair and witnesses.
const (
	BeatEvery    = 250 * time.Millisecond  // primary to members; cheap, and four fit into BeatLost
	BeatLost     = 1000 * time.Millisecond // backup takes over after this silence: four beats
	CallWait     = 500 * time.Millisecond  // one call to a member, its synced write included
	DiskWait     = 700 * time.Millisecond  // own disk slower than this: the member steps out of the pair
	TransferWait = 1500 * time.Millisecond // a whole checkpoint to a new backup
	WitnessLost  = 3 * time.Second         // a witness unseen this long is swapped for a learner
	HelloEvery   = 500 * time.Millisecond  // a member without a primary asks around
	LogSegment   = 2 << 20                 // bytes of log before a checkpoint; the disk has tens of MB
	StepPause    = 120 * time.Millisecond  // pause between tries of a view change; spread by the member's id
)

// Leases.
const (
	LeaseSpan   = 500 * time.Millisecond // how long a duty is granted; a restarted grantor is silent this long
	LeaseMargin = 120 * time.Millisecond // holder stops this much earlier: clock drift and late timers
	LeaseRenew  = 150 * time.Millisecond // three renewals fit into a span
	LeaseAgain  = 50 * time.Millisecond  // pause while a wanted lease is not granted yet
)

// News to the gatehouses.
const (
	NewsBeat     = 400 * time.Millisecond  // beat on a quiet channel
	LookAgain    = 40 * time.Millisecond   // a follower without anybody to follow looks again
	NewsLost     = 1300 * time.Millisecond // three beats: the channel counts as dead
	RelayStale   = 1200 * time.Millisecond // a relay without its primary this long says so
	AckWait      = 300 * time.Millisecond  // an order's answer waits this long for gatehouses
	NewsKeep     = 512                     // deltas kept for those that come back
	SeatsAgain   = 5 * time.Second         // a relay tells who follows it again after this, if nothing changed
	FleetEvery   = 500 * time.Millisecond  // how often fleet size and control members are told, if they changed
	FleetForget  = 30 * time.Second        // a gatehouse unseen this long leaves the fleet size
	WatchersEach = 2                       // watchers of one gatehouse: one may be lost with it
	MissesMost   = 3                       // pings missed before a node is suspected: one or two are lost by chance
	SuspectPart  = 4                       // at most one in so many gatehouses leaves the fleet size by suspicion: BudgetMargin covers as many that still run
)

// The platform's list.
const (
	ListEvery   = 900 * time.Millisecond // drain_ms less lag and push leaves three tries
	ListWait    = 700 * time.Millisecond // one page
	VanishTwice = 2                      // whole listings without a replica before it counts as gone
)

// Orders.
const (
	OrderWait   = 900 * time.Millisecond // callers move on after a second of silence
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
	SweepEvery    = 1 * time.Second         // idle connections are looked through
	ChannelsGuess = 8                       // connections to a replica whose service names no limit
	GraceMargin   = 700 * time.Millisecond  // a leaving process ends this long before its grace does
	BodyWait      = 10 * time.Second        // a client may take this long over its body
	WriteWait     = 10 * time.Second        // a client that reads nothing this long is let go
	UrgencyLate   = 8                       // class of prompts that miss the aim in any case; 9 is the last
	BudgetReserve = 15 * time.Millisecond   // taken off Time-Budget-Ms for the way back
	LingerReady   = 2500 * time.Millisecond // after SIGTERM: the platform asks each second and notices at two misses
	WatchFile     = 2 * time.Second         // the settings file is looked at this often
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

// The emulator and load tool (millyard). Values marked (default) can be set in an experiment.
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
