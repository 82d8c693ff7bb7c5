package core

import (
	"log/slog"
	"time"
)

// Event is an input of Step: one of the event types of this file.
type Event interface{ isEvent() }

// Started is the first event of an incarnation, and comes once.
type Started struct{}

// Tick lets the core notice that time has passed. It comes at NextWake at the latest; earlier and more often does no harm.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// DiskDone ends a disk job, in the order in which the jobs were given. Without an error all of the job is synced, names of files included. An unknown token is ignored. After a failed AppendEntry or SaveSnapshot the log takes no entries until a SaveSnapshot succeeds.
type DiskDone struct {
	Token Token
	Err   error
}

// DiskStalled says that a disk job takes longer than Timing.DiskTimeout (or SnapshotTimeout for a snapshot). Its DiskDone still follows when it ends.
type DiskStalled struct{ Token Token }

// Command asks the primary for one change. It ends with one Result that bears its token: Committed, NoChange, Rejected, Indeterminate or Deposed.
type Command struct {
	Token    Token
	Deadline time.Duration // on the clock of Step; past it the command never starts
	// Decide runs inside Step, once at most, with the state as all earlier commands left it. It gives the entry, or nil for no change, or the error that rejects the command. It must not change the state.
	Decide func() (entry []byte, err error)
}

// Read asks whether the state of this member is current. It ends with one Result that bears its token: Current, Indeterminate or Deposed.
type Read struct {
	Token    Token
	Deadline time.Duration
}

// Leave starts the graceful shutdown: the member gives up its roles, and a Left follows by the deadline, which is on the clock of Step. A second Leave is ignored.
type Leave struct{ Deadline time.Duration }

func (Started) isEvent()     {}
func (Tick) isEvent()        {}
func (Received) isEvent()    {}
func (DiskDone) isEvent()    {}
func (DiskStalled) isEvent() {}
func (Command) isEvent()     {}
func (Read) isEvent()        {}
func (Leave) isEvent()       {}

// Effect is an output of Step, which the driver carries out: one of the effect types of this file. Effects are carried out in their order; disk jobs may end later, but one after the other in the order given.
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

// SaveSnapshot puts a complete state on disk in place of snapshot and log, and ends with DiskDone: after a crash in the middle the disk holds either the old state or the new one.
type SaveSnapshot struct {
	Token    Token
	Snapshot Snapshot
	Tail     []Entry // entries after the snapshot
}

// Result ends a command or a read; there is one for each.
type Result struct {
	Token   Token
	Outcome Outcome
	Err     error // with Rejected: what Decide returned; with Indeterminate: ErrTooManyPending, ErrDeadlineExceeded or nil
}

// BecamePrimary reports that this member is primary of an epoch from now on, and takes commands and reads.
type BecamePrimary struct{ Epoch Epoch }

// SteppedDown reports that this member is no longer primary. The results of all its calls follow.
type SteppedDown struct{ Reason StopReason }

// LearnedView reports that a newer view is known to be chosen.
type LearnedView struct{ View View }

// Left ends a Leave: the process may exit now.
type Left struct {
	Complete bool // the primary agreed that no role is left
	Roles    Role // those of this member in the newest view known, if not
}

// Log is a line for the log: one of a fixed set of messages, with attributes under stable keys.
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

// StopReason is why a primary stepped down.
type StopReason uint8

// The reasons for stepping down.
const (
	LostWitnesses    StopReason = iota + 1 // no contact with a majority of the witnesses in time
	SawNewerView                           // a newer view is known
	AnotherProposes                        // this member took the state of another that proposes
	OwnDiskFailed                          // the disk gave an error or stalls
	ViewChangeFailed                       // the view that was needed could not be made
	HandedOver                             // it is leaving, and a backup takes over
)

var stopReasonNames = [...]string{"", "lost contact with the witnesses", "newer view known", "another member proposes", "own disk failed", "view change failed", "handed over"}

// String is the reason in words.
func (r StopReason) String() string {
	if int(r) < len(stopReasonNames) {
		return stopReasonNames[r]
	}
	return "unknown"
}
