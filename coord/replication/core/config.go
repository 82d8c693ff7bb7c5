package core

import "time"

// StateMachine is the state that is replicated. Its methods are called inside Step and must be deterministic: the same entries give the same snapshot.
type StateMachine interface {
	Apply(entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error // an empty snapshot is the first state
}

// Config is what a core needs to know.
type Config struct {
	Self  Member
	Seeds []string // addresses at which other members are looked for
	// FirstSeeds are the addresses whose members make the first view: the seeds when this disk was made, kept with its identity. Seeds may change later, and two lists must not make two first views. Empty: Seeds.
	BootstrapSeeds    []string
	MaxFailures       int                      // members that may be lost at once; 0: one member alone may be primary
	MaxDomainFailures int                      // areas that may be lost at once
	FailureDomain     func(zone string) string // what a zone is lost with; nil: each zone by itself
	Relay             bool                     // no disk: it holds nothing, witnesses nothing and only learns the view
	Bootstrap         bool                     // its disk was made for the first start: it may take part in the first view
	StateMachine      StateMachine
	Timing            Timing
	Limits            Limits
}

// Timing holds the waits.
type Timing struct {
	TickInterval      time.Duration // between two ticks; the finest wait below
	HeartbeatInterval time.Duration // primary to members; cheap, and four fit into PrimaryLost
	PrimaryTimeout    time.Duration // backup takes over after this silence: four heartbeats
	ReplyTimeout      time.Duration // one question to a member, its synced write included
	ResendInterval    time.Duration // an unanswered message goes out again; only a broken connection loses one
	DiskTimeout       time.Duration // own disk slower than this: the member is no copy any more
	SnapshotTimeout   time.Duration // own disk slower than this with a snapshot
	TransferTimeout   time.Duration // a state transfer without progress is given up
	WitnessTimeout    time.Duration // a witness unseen this long is swapped
	ViewChangeBackoff time.Duration // pause between tries of a view change; spread by the member's id
	RankDelay         time.Duration // each later backup takes over this much after the one before it, which needs tens of ms
	LateReplyWait     time.Duration // a proposer that knows too few fit members waits so long for answers beyond the majority's
	RejectionBackoff  time.Duration // a member that took no transfer is not offered one for its own sake again before
	ForgetAfter       time.Duration // a member unseen this long is forgotten unless the view names it
	LeaveMargin       time.Duration // before its deadline a leaving member gives up waiting
}

// DefaultTiming is for links of some tens of milliseconds and disks that sync within some tens.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:      25 * time.Millisecond,
		HeartbeatInterval: 250 * time.Millisecond,
		PrimaryTimeout:    1000 * time.Millisecond,
		ReplyTimeout:      500 * time.Millisecond,
		ResendInterval:    150 * time.Millisecond,
		DiskTimeout:       700 * time.Millisecond,
		SnapshotTimeout:   1500 * time.Millisecond,
		TransferTimeout:   1500 * time.Millisecond,
		WitnessTimeout:    3 * time.Second,
		ViewChangeBackoff: 120 * time.Millisecond,
		RankDelay:         300 * time.Millisecond,
		LateReplyWait:     50 * time.Millisecond,
		RejectionBackoff:  2 * time.Second,
		ForgetAfter:       30 * time.Second,
		LeaveMargin:       200 * time.Millisecond,
	}
}

// Limits bounds what is kept and sent.
type Limits struct {
	SnapshotChunkBytes int // bytes of state in one message
	LogBytes           int // bytes of entries before a snapshot takes the place of the log
	EntryCacheBytes    int // bytes of entries kept in memory for members that are nearly up to date
	MaxPending         int // orders and reads that may wait
}

// DefaultLimits fit a disk of tens of MB and links of 100 Mbit/s.
func DefaultLimits() Limits {
	return Limits{
		SnapshotChunkBytes: 256 << 10,
		LogBytes:           2 << 20,
		EntryCacheBytes:    512 << 10,
		MaxPending:         64,
	}
}
