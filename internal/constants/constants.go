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
	PortGatePage  = 3 // router: state page
)

// Talk between own processes.
const (
	DialWait = 200 * time.Millisecond // an own node answers a dial in a few ms; a cut never does
)

// Control copies and witnesses.
const (
	BeatLost = 1000 * time.Millisecond // backup takes over after this silence: four beats
	CallWait = 500 * time.Millisecond  // one call to a member, its synced write included
)

// Several backups.
const (
	LinkBytes = 8 << 20 // bytes a second that a call may count on: a link of 100 Mbit/s less a third
)

// Leases.
const (
	LeaseSpan = 500 * time.Millisecond // how long a duty is granted; a restarted grantor is silent this long
)

// News to the routers.
const (
	NewsBeat    = 400 * time.Millisecond // beat on a quiet channel
	FleetEvery  = 500 * time.Millisecond // how often fleet size and control members are told, if they changed
	SuspectPart = 4                      // at most one in so many routers leaves the fleet size by suspicion: BudgetMargin covers as many that still run
)

// The platform's list.
const (
	ListEvery = 900 * time.Millisecond // drain_ms less lag and push leaves three tries
)

// Orders.
const (
	HeadWait  = 3 * time.Second  // head of a call on our own ports
	IdleWait  = 15 * time.Second // idle connection on our own ports
	HeadBytes = 16 << 10         // bytes of a head before a setup says otherwise
	OrderBody = 16 << 20         // bytes; the largest configuration taken
)

// Traffic.
const (
	EjectFirst   = 700 * time.Millisecond // first ejection after a failed connection
	BudgetMargin = 0.8                    // part of the fleet's budget that nodes share out
	CalmPart     = 0.5                    // part of the memory for bodies below which no path is held to its portion
	AnswerMax    = 32 << 20               // bytes of one whole answer held
	AliveIdle    = 1 * time.Second        // keep-alive probes of the kernel: a dark replica is noticed
	AliveEvery   = 1 * time.Second        // though nothing is being sent
	AliveCount   = 2                      // probes unanswered before the connection ends
	UnackedMost  = 900 * time.Millisecond // bytes that a replica leaves unacknowledged this long end the connection
	GraceMargin  = 700 * time.Millisecond // a leaving process ends this long before its grace does
)

// The cache design. Starting values marked (source) are the design's, the others ours.
const (
	BlockTokens  = 16                    // tokens a block (source)
	SecondSight  = 2                     // sightings before an entry is made (source)
	PrefillToken = 35 * time.Microsecond // per prompt token until learned (source)
	IndexRuns    = 20000                 // runs kept at most over all replicas
	HintContra   = 3                     // contradictions before a hint is dropped
)

// A machine of our own that turns slow.
const (
	LevelEvery = 500 * time.Millisecond // between two looks at oneself; each costs a waking-up and some 10 us
)

// Connections to replicas, shares and replica health.
const (
	BudgetPot = 0.5                    // part of the slack that is lent in lumps; the rest stays with the nodes, for when nobody lends
	LumpTries = 4                      // further tries in one lump: what a burst of failures takes on one node
	LumpSpan  = 2 * time.Second        // life of a lump: a borrower that doesn't use it keeps it from others only so long
	LumpWait  = 100 * time.Millisecond // a request waits this long for a lump
)

// Placement of prompts: the cost's options and the search for candidates.
const (
	HoldersMost = 6 // replicas named by the index that become candidates
)

// Long work between nodes (package handoff, docs/long-work.md).
const (
	LongTakeMost = 256 // jobs; no setting may allow more
)
