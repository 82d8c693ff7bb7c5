package distribution

import "github.com/cockroachdb/errors"

// Position orders all updates of all sources: first by the epoch of the source that pushed them, then by their number
// within it. A follower never goes back in it. The zero Position comes before all updates.
type Position struct {
	Epoch  uint64
	Number uint64
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Number < other.Number
}

// relation is where a change stands relative to what a follower has.
type relation int

const (
	relationNext  relation = iota // the next one: apply it
	relationKnown                 // applied before: skip it
	relationGap                   // something before it is missing, or it belongs to another epoch: ask for a snapshot
)

// progress is how far a state has come.
type progress struct {
	at            Position
	needsSnapshot bool // a change did not apply: the state can't be trusted to take later ones
}

// classify returns how a change at a position relates to what is here.
func (p *progress) classify(change Position) relation {
	switch {
	case change.Epoch != p.at.Epoch || p.needsSnapshot:
		return relationGap
	case change.Number <= p.at.Number:
		return relationKnown
	case change.Number == p.at.Number+1:
		return relationNext
	}
	return relationGap
}

// checkRestore returns ErrStale for a snapshot that is older than the state.
func (p *progress) checkRestore(snapshot Position) error {
	if snapshot.Before(p.at) {
		return errors.Wrapf(ErrStale, "snapshot at %d/%d, state at %d/%d", snapshot.Epoch, snapshot.Number, p.at.Epoch, p.at.Number)
	}
	return nil
}

// resumeFrom is the position to ask a source for: the zero Position if only a snapshot helps.
func (p *progress) resumeFrom() Position {
	if p.needsSnapshot {
		return Position{}
	}
	return p.at
}
