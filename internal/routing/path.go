package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may be run and how its answer is sent.
type Kind int

// The kinds of paths.
const (
	AtMostOnce Kind = iota // runs at most once
	Idempotent             // may run more than once
	Streaming              // a stream of events; runs once, unless it may be resumed
)

// Op is one step in the handling of a request.
type Step int

// The steps, in the order in which a path may hold them.
const (
	ReadBody        Step = iota // read the body whole, inside the limit
	SetDeadline                 // compute the deadline
	ChooseBackend               // choose the service by weight
	RestrictRegions             // restrict to the allowed regions
	RelayComplete               // send, and return the answer whole
	RelayEvents                 // send, and pass events on as they come
)

// Part is one weighted service of a path.
type Backend struct {
	Pool            string
	CumulativeShare float64 // cumulated share, 0 to 1
}

// Path is one compiled route.
type Route struct {
	Name            string
	Prefix          string
	Kind            Kind
	Steps           []Step
	Backends        []Backend
	Timeout         time.Duration
	LatencyTarget   time.Duration // target latency
	EventGapTarget  time.Duration // target time between two events
	Priority        int
	MaxAttempts     int // attempts at most
	SessionAffinity bool
	Resumable       bool
	AllowedRegions  map[string]bool // nil: all are allowed
}

// Repeatable reports whether a request on this path may run more than once.
func (p *Route) IsRetriable() bool {
	switch p.Kind {
	case Idempotent:
		return true
	case Streaming:
		return p.Resumable
	}
	return false
}

// Choose gives the service for an affinity key. A key keeps its service while
// the weights stay the same.
func (p *Route) ChooseService(key string) string {
	if len(p.Backends) == 1 {
		return p.Backends[0].Pool
	}
	position := unitInterval(xxhash.Sum64String(p.Name + "\x00" + key))
	for _, part := range p.Backends {
		if position < part.CumulativeShare {
			return part.Pool
		}
	}
	return p.Backends[len(p.Backends)-1].Pool
}

// unitInterval maps a hash to a number from 0 up to, but without, 1. A float64
// holds 53 bits.
func unitInterval(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}
