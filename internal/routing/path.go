package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may be run and how its answer is sent.
type Kind int

// The kinds of paths.
const (
	Once   Kind = iota // runs at most once
	Repeat             // may run more than once
	Stream             // a stream of events; runs once, unless it may be resumed
)

// Op is one step in the handling of a request.
type Op int

// The steps, in the order in which a path may hold them.
const (
	TakeBody Op = iota // read the body whole, inside the limit
	SetClock           // compute the deadline
	Split              // choose the service by weight
	Fence              // restrict to the allowed regions
	Whole              // send, and return the answer whole
	Events             // send, and pass events on as they come
)

// Part is one weighted service of a path.
type Part struct {
	Pool string
	Upto float64 // cumulated share, 0 to 1
}

// Path is one compiled route.
type Path struct {
	Name     string
	Prefix   string
	Kind     Kind
	Steps    []Op
	Parts    []Part
	Timeout  time.Duration
	Aim      time.Duration // target latency
	Gap      time.Duration // target time between two events
	Priority int
	Attempts int // attempts at most
	Sticky   bool
	Resume   bool
	Regions  map[string]bool // nil: all are allowed
}

// Repeatable tells whether a request on this path may run more than once.
func (p *Path) Repeatable() bool {
	switch p.Kind {
	case Repeat:
		return true
	case Stream:
		return p.Resume
	}
	return false
}

// Choose gives the service for an affinity key. A key keeps its service while
// the weights stay the same.
func (p *Path) Choose(key string) string {
	if len(p.Parts) == 1 {
		return p.Parts[0].Pool
	}
	position := unitInterval(xxhash.Sum64String(p.Name + "\x00" + key))
	for _, part := range p.Parts {
		if position < part.Upto {
			return part.Pool
		}
	}
	return p.Parts[len(p.Parts)-1].Pool
}

// unitInterval maps a hash to a number from 0 up to, but without, 1. A float64
// holds 53 bits.
func unitInterval(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}
