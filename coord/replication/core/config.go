package core

import "time"

// StateMachine is the state that is replicated. Its methods are called inside Step and New only, and must be deterministic: the same entries give the same snapshot.
type StateMachine interface {
	Apply(entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error // an empty snapshot is the initial state
}

// BatchStateMachine is a StateMachine that applies many entries at once for less than one by one. ApplyAll must come to the same state as Apply of each; every entry was accepted by a primary.
type BatchStateMachine interface {
	StateMachine
	ApplyAll(entries [][]byte)
}

// Config is what New needs. All of it stays the same for an incarnation.
type Config struct {
	Self  Member
	Seeds []string // addresses at which other members are asked for
	// BootstrapSeeds are the addresses whose members make the first view: the seeds when this disk was made, kept with its identity. Seeds may change later, and two lists must not make two first views. Empty: Seeds.
	BootstrapSeeds    []string
	MaxFailures       int                      // members that may fail at once; 0: one member by itself may be primary
	MaxDomainFailures int                      // failure domains that may fail at once
	FailureDomain     func(zone string) string // of a zone: what fails as one; nil: each zone is one
	Relay             bool                     // it has no disk: it holds no state, is no witness and only learns the view
	Bootstrap         bool                     // its disk was created at the first start of the group: it may take part in the first view
	StateMachine      StateMachine
	Timing            Timing
	Limits            Limits
}

// Timing holds the time-outs and intervals. All must be positive but for LeaveMargin; DefaultTiming gives a set that fits together.
type Timing struct {
	TickInterval      time.Duration // between two ticks; the resolution of all other waits
	HeartbeatInterval time.Duration // primary to members
	PrimaryTimeout    time.Duration // without contact for this long a backup takes over: four heartbeats
	ReplyTimeout      time.Duration // one request to a member, its synced write included
	ResendInterval    time.Duration // an unanswered message is sent again after this; only a broken connection loses one
	DiskTimeout       time.Duration // own disk slower than this: the member leaves the replicas
	SnapshotTimeout   time.Duration // the same for a snapshot
	TransferTimeout   time.Duration // a state transfer without progress is given up after this
	WitnessTimeout    time.Duration // a witness without contact for this long is replaced
	ViewChangeBackoff time.Duration // between two attempts at a view change; spread by the member's id
	RankDelay         time.Duration // each later backup takes over this much after the one before it, which takes some tens of ms
	LateReplyWait     time.Duration // a proposer that knows too few writable members waits this long for replies beyond the majority's
	RejectionBackoff  time.Duration // a member that rejected a transfer is not offered one for its own sake for this long
	ForgetAfter       time.Duration // a member without contact for this long is forgotten unless the view names it
	LeaveMargin       time.Duration // a leaving member gives up this long before its deadline
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

// Limits bounds what is kept in memory and on disk, and what is sent in one message. DefaultLimits gives a set that fits together.
type Limits struct {
	SnapshotChunkBytes int // bytes of state in one message
	LogBytes           int // bytes of entries in the log before a snapshot replaces it
	EntryCacheBytes    int // bytes of entries kept in memory for members that miss only a few
	MaxPending         int // commands, and as many reads, that may wait; more are Indeterminate with ErrTooManyPending
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
