// Package core is the deterministic core of a replicated state: a primary writes to its backups, and a register at the witnesses, decided by prepare and accept, says who they are.
//
// The core is a pure state machine. Step takes one event and gives the effects that the driver has to carry out. There is no goroutine, lock, clock, random number, socket or file in it, so every run can be repeated exactly and explored exhaustively.
package core

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MemberID names a disk, not an address: a machine whose disk was lost or replaced is another member. Zero is nobody.
type MemberID uint64

// Epoch counts views. The first view has epoch 1; epoch 0 stands for "no view yet".
type Epoch uint64

// Ballot orders the proposals for one epoch: a round in the high bits, the proposer in the low ones.
type Ballot uint64

// Index counts the entries of the history from 1.
type Index uint64

// Digest is chained over the history: the digest of an entry covers the one before it.
//
// It is a 64 bit xxhash. It guards against mistakes and damage, not against forgery: all members are trusted, and two histories that differ agree by chance once in 2^64.
type Digest uint64

// Token names an order, a read or a disk job. The driver chooses the tokens of orders and reads, the core those of disk jobs; the two spaces are apart.
type Token uint64

// Member is one process with a disk (or without one: a relay).
type Member struct {
	ID      MemberID `json:"ID"`
	Address string   `json:"Address"`
	Zone    string   `json:"Zone"`
}

// Position is a place in the history: the last entry held, and the digest of all up to it. The zero position is the empty history.
type Position struct {
	Index  Index  `json:"Index"`
	Digest Digest `json:"Digest"`
}

// View says who holds the state and who witnesses the next view.
type View struct {
	Epoch     Epoch    `json:"Epoch"`
	Ballot    Ballot   `json:"Ballot"` // under which the replicas were given the state
	Witnesses []Member `json:"Witnesses"`
	Primary   Member   `json:"Primary"`
	Backups   []Member `json:"Backups"` // in the order in which they take over
	Base      Position `json:"Base"`    // of the state that the replicas held when the view was proposed
}

// Copies are the primary and its backups.
func (v *View) Replicas() []Member {
	return append([]Member{v.Primary}, v.Backups...)
}

// Tag is the tag of the state that the view's copies were given.
func (v *View) Tag() StateTag {
	return StateTag{Epoch: v.Epoch, Ballot: v.Ballot}
}

// Clone is a copy that shares nothing.
func (v *View) Clone() *View {
	if v == nil {
		return nil
	}
	other := *v
	other.Witnesses = slices.Clone(v.Witnesses)
	other.Backups = slices.Clone(v.Backups)
	return &other
}

// Register is what a witness keeps on disk: the newest view known to be chosen, and its promise and acceptance for the epoch after it.
type Register struct {
	View           *View  `json:"View"`
	Promised       Ballot `json:"Promised"`
	AcceptedBallot Ballot `json:"AcceptedBallot"`
	Accepted       *View  `json:"Accepted"`
}

// Clone is a copy that shares nothing.
func (r Register) Clone() Register {
	r.View = r.View.Clone()
	r.Accepted = r.Accepted.Clone()
	return r
}

// StateTag says under which proposal a member was given its state. The zero tag is state that was given for no proposal: its holder may not lead.
type StateTag struct {
	Epoch  Epoch
	Ballot Ballot
}

// Covers tells whether state with this tag is at least as new as state with the other.
func (t StateTag) Covers(other StateTag) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch > other.Epoch
	}
	return t.Ballot >= other.Ballot
}

// Snapshot is the whole state at a position. Tag and position are saved with the data as one record, so an older snapshot never passes for a newer one.
type Snapshot struct {
	Tag      StateTag
	Position Position
	Data     []byte
}

// Entry is one change of the history.
type Entry struct {
	Index    Index
	Epoch    Epoch // of the view in which it was written
	Ballot   Ballot
	Previous Digest // of the history before it
	Data     []byte
}

// Tag is the tag of the view in which the entry was written.
func (e Entry) Tag() StateTag {
	return StateTag{Epoch: e.Epoch, Ballot: e.Ballot}
}

// Position is the position of a history that ends with this entry.
func (e Entry) Position() Position {
	var head [32]byte
	binary.LittleEndian.PutUint64(head[0:], uint64(e.Previous))
	binary.LittleEndian.PutUint64(head[8:], uint64(e.Index))
	binary.LittleEndian.PutUint64(head[16:], uint64(e.Epoch))
	binary.LittleEndian.PutUint64(head[24:], uint64(e.Ballot))
	digest := xxhash.New()
	_, _ = digest.Write(head[:])
	_, _ = digest.Write(e.Data)
	return Position{Index: e.Index, Digest: Digest(digest.Sum64())}
}

// Follows tells whether the entry is the next one after a position.
func (e Entry) Follows(position Position) bool {
	return e.Index == position.Index+1 && e.Previous == position.Digest
}

// Stored is what the disk held when the process started.
type Stored struct {
	Register Register
	Snapshot *Snapshot // nil: no state
	Entries  []Entry   // after the snapshot
	// TailIsOpen says that entries can be appended. If not, a snapshot must be saved first.
	Appendable bool
}

// Refusal is why a member did not do what a message asked for.
type Rejection uint8

// The reasons of refusal.
const (
	Granted         Rejection = iota // not refused
	WrongDisk                        // the message was meant for another disk at this address
	NoDisk                           // this member has no disk
	NewerView                        // a newer view is known here; it comes with the answer
	UnknownView                      // the view meant is not known here
	NotJoined                        // this member was not given the state for this view in this life, or is sealed
	MissingEntries                   // entries are missing before the one sent
	DuplicateEntry                   // an older entry that is held already; nothing was done
	DivergedHistory                  // the history held differs from the one meant
	HigherPromise                    // a higher ballot was promised
	NotWitness                       // this member is no witness of that view, or started with other seeds
	Unavailable                      // the disk takes no writes, or the member is leaving
	Busy                             // another job of that kind is under way
	DiskFailed                       // the disk gave an error
	NotPrimary                       // only the primary does this
	NoReplacement                    // the member that wants to leave can't be replaced now
)

var rejectionNames = [...]string{
	"granted", "wrong disk", "no disk", "newer view", "unknown view", "not joined", "missing entries", "duplicate entry", "diverged history", "higher promise",
	"not a witness", "unavailable", "busy", "disk failed", "not primary", "no replacement",
}

// String is the reason in words.
func (r Rejection) String() string {
	if int(r) < len(rejectionNames) {
		return rejectionNames[r]
	}
	return "rejection " + strconv.Itoa(int(r))
}

// Outcome is how an order or a read ended.
type Outcome uint8

// The outcomes. All but Unclear and Deposed are clear answers: they hold at some moment between the call and the answer.
const (
	Committed     Outcome = iota + 1 // the entry is synced on all copies
	NoChange                         // Decide found nothing to do
	Rejected                         // Decide gave an error, which comes with the answer
	Current                          // the state of this member is current: the driver may read it before the next Step
	Indeterminate                    // may have been done or not, or may be done by nobody now
	Deposed                          // this member is not the primary, and nothing was begun
)

var outcomeNames = [...]string{"", "committed", "no change", "rejected", "current", "indeterminate", "deposed"}

// String is the outcome in words.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Clear tells whether the answer holds for sure.
func (o Outcome) IsDefinite() bool {
	return o >= Committed && o <= Current
}

// Role is what a member is in a view; roles may be added.
type Role uint8

// The roles.
const (
	RolePrimary Role = 1 << iota
	RoleBackup
	RoleWitness
)
