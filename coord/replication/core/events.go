package core

import (
	"log/slog"
	"time"
)

// Event is one of the event types of this file: what the driver tells the core.
type Event interface{ isEvent() }

// Started is the first event of a life.
type Started struct{}

// Tick comes at NextWake at the latest.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// DiskDone ends a disk job, in the order in which the jobs were given. Without an error all of the job is synced, names of files included. After a failed AppendEntry or SaveSnapshot the log takes no entries until a SaveSnapshot succeeds.
type DiskDone struct {
	Token Token
	Err   error
}

// DiskStalled says that a disk job takes longer than Timing.DiskWait (or SnapshotWait for a snapshot). Its DiskDone still follows when it ends.
type DiskStalled struct{ Token Token }

// Order asks for one change.
type Command struct {
	Token    Token
	Deadline time.Duration // on the clock of Step; past it the order never begins
	// Decide runs inside Step, once at most, with the state as all earlier orders left it. It gives the entry, or nil if nothing is to be done, or the error of a refusal. It must not change the state.
	Decide func() (entry []byte, err error)
}

// Read asks whether the state of this member is current.
type Read struct {
	Token    Token
	Deadline time.Duration
}

// Leave asks the member to give up its roles.
type Leave struct{ Deadline time.Duration }

func (Started) isEvent()     {}
func (Tick) isEvent()        {}
func (Received) isEvent()    {}
func (DiskDone) isEvent()    {}
func (DiskStalled) isEvent() {}
func (Command) isEvent()     {}
func (Read) isEvent()        {}
func (Leave) isEvent()       {}

// Effect is one of the effect types of this file: what the driver has to do. Effects are carried out in their order; disk jobs may end later, but one after the other in the order given.
type Effect interface{ isEffect() }

// Send sends a message; it may be lost.
type Send struct {
	Address string
	Message Message
}

// SaveRegister puts the register on disk in place of the one before, and ends with DiskDone.
type SaveRegister struct {
	Token    Token
	Register Register
}

// AppendEntry adds an entry to the log on disk, and ends with DiskDone.
type AppendEntry struct {
	Token Token
	Entry Entry
}

// SaveSnapshot puts a whole state on disk in place of snapshot and log, and ends with DiskDone: after a crash in the middle either the old state or the new one is found, whole.
type SaveSnapshot struct {
	Token    Token
	Snapshot Snapshot
	Tail     []Entry // entries after the snapshot
}

// Answer ends an order or a read.
type Result struct {
	Token   Token
	Outcome Outcome
	Err     error // the refusal that Decide gave
}

// BecamePrimary says that this member writes from now on.
type BecamePrimary struct{ Epoch Epoch }

// StoppedBeingPrimary says that this member writes no more.
type SteppedDown struct{ Reason StopReason }

// LearnedView says that a newer view is known.
type LearnedView struct{ View View }

// Left ends a Leave: the process may end now.
type Left struct {
	Complete bool // the primary agreed that no role is left
	Roles    Role // those held in the newest view known, if not
}

// Log is a line for the log.
type Log struct {
	Level      slog.Level
	Message    string
	Attributes []slog.Attr
}

func (Send) isEffect()          {}
func (SaveRegister) isEffect()  {}
func (AppendEntry) isEffect()   {}
func (SaveSnapshot) isEffect()  {}
func (Result) isEffect()        {}
func (BecamePrimary) isEffect() {}
func (SteppedDown) isEffect()   {}
func (LearnedView) isEffect()   {}
func (Left) isEffect()          {}
func (Log) isEffect()           {}

// StopReason is why a primary stopped.
type StopReason uint8

// The reasons.
const (
	LostWitnesses    StopReason = iota + 1 // a majority of the witnesses was not heard in time
	SawNewerView                           // a newer view is known
	AnotherProposes                        // this member took the state of another that proposes
	OwnDiskFailed                          // the disk gave an error or stalls
	ViewChangeFailed                       // the view that was needed could not be made
	HandedOver                             // it is leaving
)

var stopReasonNames = [...]string{"", "lost contact with the witnesses", "newer view known", "another member proposes", "own disk failed", "view change failed", "handed over"}

// String is the reason in words.
func (r StopReason) String() string {
	if int(r) < len(stopReasonNames) {
		return stopReasonNames[r]
	}
	return "unknown"
}
