package core

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MemberID names a disk, not an address: a machine whose disk was lost or replaced is another member. Zero is no member.
type MemberID uint64

// Epoch counts views. The first view has epoch 1; epoch 0 stands for "no view yet".
type Epoch uint64

// Ballot commands the proposals for one epoch: a round in the high bits, the proposer in the low ones.
type Ballot uint64

// Index counts the entries of the history from 1.
type Index uint64

// Digest is chained over the history: the digest of an entry covers the one before it.
//
// It is a 64 bit xxhash. It guards against mistakes and damage, not against forgery: all members are trusted, and two histories that differ agree by chance once in 2^64.
type Digest uint64

// Token identifies a command, a read or a disk job. The driver chooses the tokens of commands and reads, each once in a process; the core chooses those of disk jobs. The two spaces are separate.
type Token uint64

// Member is one process with a disk (or without one: a relay).
type Member struct {
	ID      MemberID `json:"ID"`
	Address string   `json:"Address"`
	Zone    string   `json:"Zone"`
}

// Position is an offset in the history: the index of the last entry, and the digest of all entries up to it. The zero position is the empty history.
type Position struct {
	Index  Index  `json:"Index"`
	Digest Digest `json:"Digest"`
}

// View says who holds the state and who are the witnesses that choose the next view. A View is never changed once it is made; it may be shared.
type View struct {
	Epoch     Epoch    `json:"Epoch"`
	Ballot    Ballot   `json:"Ballot"` // under which the replicas were given the state
	Witnesses []Member `json:"Witnesses"`
	Primary   Member   `json:"Primary"`
	Backups   []Member `json:"Backups"` // in the order in which they take over
	Base      Position `json:"Base"`    // of the state that the replicas had when the view was proposed
}

// Replicas are the primary and its backups.
func (v *View) Replicas() []Member {
	return append([]Member{v.Primary}, v.Backups...)
}

// Tag is the tag of the state that the view's replicas were given.
func (v *View) Tag() StateTag {
	return StateTag{Epoch: v.Epoch, Ballot: v.Ballot}
}

// Clone is a replica that shares nothing.
func (v *View) Clone() *View {
	if v == nil {
		return nil
	}
	other := *v
	other.Witnesses = slices.Clone(v.Witnesses)
	other.Backups = slices.Clone(v.Backups)
	return &other
}

// Register is what a witness keeps on disk: the newest view known to be chosen, and its promise and acceptance for the epoch after it. The zero register has promised and accepted nothing.
//
// The JSON keys are those under which stores keep it.
type Register struct {
	View           *View  `json:"View"`
	Promised       Ballot `json:"Promised"`
	AcceptedBallot Ballot `json:"AcceptedBallot"`
	Accepted       *View  `json:"Accepted"`
}

// Clone is a replica that shares nothing.
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

// Covers reports whether state with this tag is at least as new as state with the other.
func (t StateTag) Covers(other StateTag) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch > other.Epoch
	}
	return t.Ballot >= other.Ballot
}

// Snapshot is the complete state at a position. Tag and position are saved with the data as one record, so an older snapshot never passes for a newer one.
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

// Follows reports whether the entry is the next one after a position, by index and by digest.
func (e Entry) Follows(position Position) bool {
	return e.Index == position.Index+1 && e.Previous == position.Digest
}

// Stored is what the disk contained when the process started. The zero value is an empty disk.
type Stored struct {
	Register Register
	Snapshot *Snapshot // nil: no state
	Entries  []Entry   // after the snapshot
	// Appendable says that entries can be appended. If not, a snapshot must be saved first.
	Appendable bool
}

// Rejection is why a member did not do what a message asked for. The values are sent between processes; they never change.
type Rejection uint8

// The reasons of rejection.
const (
	Granted         Rejection = iota // not rejected
	WrongDisk                        // the message was meant for another disk at this address
	NoDisk                           // this member has no disk
	NewerView                        // a newer view is known here; it comes with the reply
	UnknownView                      // the view meant is not known here
	NotJoined                        // this member was not given the state for this view in this incarnation, or is sealed
	MissingEntries                   // entries are missing before the one sent
	DuplicateEntry                   // an older entry that is here already; nothing was done
	DivergedHistory                  // the history here differs from the one meant
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

// String is the reason in words, for logs.
func (r Rejection) String() string {
	if int(r) < len(rejectionNames) {
		return rejectionNames[r]
	}
	return "rejection " + strconv.Itoa(int(r))
}

// Outcome is how a command or a read ended. The zero Outcome is none.
type Outcome uint8

// The outcomes. All but Unclear and Deposed are definite results: they hold at some moment between the call and the answer.
const (
	Committed     Outcome = iota + 1 // the entry is synced on all replicas
	NoChange                         // Decide found nothing to do
	Rejected                         // Decide gave an error, which comes with the answer
	Current                          // the state of this member is current: the driver may read it before the next Step
	Indeterminate                    // may have taken effect or not, or may take effect later
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

// IsDefinite reports whether the result holds for certain: after Indeterminate the command may have taken effect or may do so later, after Deposed it has not begun here.
func (o Outcome) IsDefinite() bool {
	return o >= Committed && o <= Current
}

// Role is a set of the roles that a member has in a view. The zero Role is none.
type Role uint8

// The roles.
const (
	RolePrimary Role = 1 << iota
	RoleBackup
	RoleWitness
)
