package counter

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Estimates of the memory that a Set takes.
const (
	additionBytes = 64  // of an addition in the list of its origin
	idBytes       = 112 // of an id that is known, without its characters
)

// Set is a grow-only set of additions with its totals. The zero value is not usable; see NewSet.
//
// Invariant: totals is the sum of the amounts in known, and known has every addition of every list of origins.
type Set struct {
	own     Origin                // of this incarnation
	origins map[Origin][]Addition // the first additions of each, without gaps
	known   map[additionKey]knownAddition
	totals  map[string]uint64
	names   map[string]string // each counter's name once, so that additions share it
	digest  uint64
	bytes   int
}

type additionKey struct{ counter, id string }

// knownAddition is what counts for one id.
type knownAddition struct {
	amount    uint64
	ownNumber uint64 // among the additions of the own origin; 0: it is not one of them
}

// NewSet returns an empty set of a member whose incarnation has this origin.
func NewSet(own Origin) *Set {
	return &Set{
		own:     own,
		origins: map[Origin][]Addition{},
		known:   map[additionKey]knownAddition{},
		totals:  map[string]uint64{},
		names:   map[string]string{},
	}
}

// Merge takes the additions of a run that follow those held of its origin, and returns how many that were. A run that
// begins after a gap is not taken.
func (s *Set) Merge(run Run) int {
	held := uint64(len(s.origins[run.Origin]))
	if run.First == 0 || run.First > held+1 || run.Last() <= held {
		return 0
	}
	additions := run.Additions[held+1-run.First:]
	for _, addition := range additions {
		s.append(run.Origin, addition)
	}
	return len(additions)
}

// append adds the next addition of an origin. Of two amounts for one id the greater one counts, so that all members
// count alike, in whatever order they learn of them.
func (s *Set) append(origin Origin, addition Addition) {
	addition.Counter = s.sharedName(addition.Counter)
	key := additionKey{addition.Counter, addition.ID}
	known, isKnown := s.known[key]
	if !isKnown {
		s.bytes += idBytes + len(addition.ID)
	}
	if addition.Amount > known.amount {
		s.totals[addition.Counter] += addition.Amount - known.amount
		known.amount = addition.Amount
	}
	held := s.origins[origin]
	if origin == s.own {
		known.ownNumber = uint64(len(held)) + 1
	}
	s.known[key] = known
	s.digest ^= originDigest(origin, uint64(len(held)))
	s.origins[origin] = append(held, addition)
	s.digest ^= originDigest(origin, uint64(len(held))+1)
	s.bytes += additionBytes
}

func (s *Set) sharedName(name string) string {
	shared, known := s.names[name]
	if !known {
		s.names[name] = name
		s.bytes += idBytes + len(name)
		return name
	}
	return shared
}

// originDigest is what a count of an origin's additions contributes to the digest of a vector; nothing if it is zero.
func originDigest(origin Origin, count uint64) uint64 {
	if count == 0 {
		return 0
	}
	var content [16]byte
	binary.LittleEndian.PutUint64(content[:], uint64(origin))
	binary.LittleEndian.PutUint64(content[8:], count)
	return xxhash.Sum64(content[:])
}

// digestOf is the digest of a vector, as Set.Digest gives it.
func digestOf(vector Vector) uint64 {
	var digest uint64
	for origin, count := range vector {
		digest ^= originDigest(origin, count)
	}
	return digest
}

// Digest is a digest of the set's vector: two sets with equal digests hold the same, but for a chance of one in 2^64.
func (s *Set) Digest() uint64 { return s.digest }

// Count is how many additions of an origin are held.
func (s *Set) Count(origin Origin) uint64 { return uint64(len(s.origins[origin])) }

// Vector tells what is held.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.origins))
	for origin, additions := range s.origins {
		vector[origin] = uint64(len(additions))
	}
	return vector
}

// Run returns the additions of an origin from a number on, as many as fit into a size, and at least one if there is one.
// They are shared and must not be changed.
func (s *Set) Run(origin Origin, first uint64, limitBytes int) Run {
	held := s.origins[origin]
	run := Run{Origin: origin, First: first}
	if first == 0 || first > uint64(len(held)) {
		return run
	}
	rest := held[first-1:]
	size := 0
	for i, addition := range rest {
		size += encodedBytes(addition)
		if size > limitBytes && i > 0 {
			rest = rest[:i]
			break
		}
	}
	run.Additions = rest
	return run
}

// find gives what counts for an id; false if the id is not known.
func (s *Set) find(counter, id string) (found knownAddition, known bool) {
	found, known = s.known[additionKey{counter, id}]
	return found, known
}

// Total is the sum of a counter, 0 for one that is not known.
func (s *Set) Total(counter string) uint64 { return s.totals[counter] }

// Bytes estimates the memory that the set takes.
func (s *Set) Bytes() int { return s.bytes }

// IDs is how many ids are known, over all counters.
func (s *Set) IDs() int { return len(s.known) }

// Counters is how many counters have an addition.
func (s *Set) Counters() int { return len(s.totals) }
