package counter

import "maps"

// Origin names one incarnation of a member: a random number, never zero. The additions that it takes are numbered from 1.
type Origin uint64

// Addition is one addition to a counter.
type Addition struct {
	Counter string
	ID      string // of the addition, within its counter
	Amount  uint64 // at most MaxAmount
}

// Bounds of an addition. MaxAmount is so small that the sum of as many additions as any memory holds does not overflow.
const (
	MaxAmount    = 1 << 42
	MaxNameBytes = 128 // of a counter's name and of an id
)

// Run is a part of the additions of one origin: the first has the number First.
type Run struct {
	Origin    Origin
	First     uint64
	Additions []Addition
}

// Last is the number of the run's last addition; First - 1 if it is empty.
func (r Run) Last() uint64 { return r.First + uint64(len(r.Additions)) - 1 }

// Vector says for each origin how many of its additions a member holds, which are the first so many. A missing origin
// stands for 0.
type Vector map[Origin]uint64

// Covers reports whether a member with this vector holds all that one with the other holds.
func (v Vector) Covers(other Vector) bool {
	for origin, count := range other {
		if v[origin] < count {
			return false
		}
	}
	return true
}

// Clone is a copy.
func (v Vector) Clone() Vector { return maps.Clone(v) }

// Member is one process that keeps counters.
type Member struct {
	ID      uint64 // of its disk; 0: not known
	Address string
	Domain  string // the failure domain that it is lost with
}

// Policy says on which disks an addition must be synced before it is acknowledged.
type Policy struct {
	MaxFailures       int // members whose disks may be lost at once
	MaxDomainFailures int // failure domains that may be lost at once
}

// isMetBy reports whether disks of these members are enough.
func (p Policy) isMetBy(members []Member) bool {
	domains := map[string]bool{}
	for _, member := range members {
		domains[member.Domain] = true
	}
	return len(members) > p.MaxFailures && len(domains) > p.MaxDomainFailures
}
