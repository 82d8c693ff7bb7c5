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
	FirstSeeds []string
	Losses     int                      // members that may be lost at once; 0: one member alone may be primary
	Areas      int                      // areas that may be lost at once
	Area       func(zone string) string // what a zone is lost with; nil: each zone by itself
	Relay      bool                     // no disk: it holds nothing, witnesses nothing and only learns the view
	Bootstrap  bool                     // its disk was made for the first start: it may take part in the first view
	Machine    StateMachine
	Timing     Timing
	Limits     Limits
}

// Timing holds the waits.
type Timing struct {
	Tick         time.Duration // between two ticks; the finest wait below
	Heartbeat    time.Duration // primary to members; cheap, and four fit into PrimaryLost
	PrimaryLost  time.Duration // backup takes over after this silence: four heartbeats
	AnswerWait   time.Duration // one question to a member, its synced write included
	Resend       time.Duration // an unanswered message goes out again; only a broken connection loses one
	DiskWait     time.Duration // own disk slower than this: the member is no copy any more
	SnapshotWait time.Duration // own disk slower than this with a snapshot
	TransferWait time.Duration // a state transfer without progress is given up
	WitnessLost  time.Duration // a witness unseen this long is swapped
	StepPause    time.Duration // pause between tries of a view change; spread by the member's id
	RankWait     time.Duration // each later backup takes over this much after the one before it, which needs tens of ms
	LateAnswer   time.Duration // a proposer that knows too few fit members waits so long for answers beyond the majority's
	RefusedFor   time.Duration // a member that took no transfer is not offered one for its own sake again before
	Forget       time.Duration // a member unseen this long is forgotten unless the view names it
	LeaveMargin  time.Duration // before its deadline a leaving member gives up waiting
}

// DefaultTiming is for links of some tens of milliseconds and disks that sync within some tens.
func DefaultTiming() Timing {
	return Timing{
		Tick:         25 * time.Millisecond,
		Heartbeat:    250 * time.Millisecond,
		PrimaryLost:  1000 * time.Millisecond,
		AnswerWait:   500 * time.Millisecond,
		Resend:       150 * time.Millisecond,
		DiskWait:     700 * time.Millisecond,
		SnapshotWait: 1500 * time.Millisecond,
		TransferWait: 1500 * time.Millisecond,
		WitnessLost:  3 * time.Second,
		StepPause:    120 * time.Millisecond,
		RankWait:     300 * time.Millisecond,
		LateAnswer:   50 * time.Millisecond,
		RefusedFor:   2 * time.Second,
		Forget:       30 * time.Second,
		LeaveMargin:  200 * time.Millisecond,
	}
}

// Limits bounds what is kept and sent.
type Limits struct {
	SnapshotPart int // bytes of state in one message
	LogBytes     int // bytes of entries before a snapshot takes the place of the log
	RecentBytes  int // bytes of entries kept in memory for members that are nearly up to date
	Waiting      int // orders and reads that may wait
}

// DefaultLimits fit a disk of tens of MB and links of 100 Mbit/s.
func DefaultLimits() Limits {
	return Limits{
		SnapshotPart: 256 << 10,
		LogBytes:     2 << 20,
		RecentBytes:  512 << 10,
		Waiting:      64,
	}
}
