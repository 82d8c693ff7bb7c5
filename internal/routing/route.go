package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may be run and how its answer is sent.
type Kind int

// The kinds of routes.
const (
	AtMostOnce Kind = iota // runs at most once
	Idempotent             // may run more than once
	Streaming              // a stream of events; runs once, unless it may be resumed
)

// Step is one step in the handling of a request.
type Step int

// The steps, in the order in which a route may hold them.
const (
	ReadBody        Step = iota // read the complete body, inside the limit
	SetDeadline                 // compute the deadline
	ChooseService               // choose the service by weight
	RestrictRegions             // restrict to the allowed regions
	RelayComplete               // send, and return the complete answer
	RelayEvents                 // send, and pass events on as they come
)

// Backend is one weighted service of a route.
type Backend struct {
	Pool            string
	CumulativeShare float64 // of the requests, with those of the backends before it; 1 for the last
}

// Route is one compiled route of the configuration.
type Route struct {
	Name            string
	Prefix          string // of the raw target
	Kind            Kind
	Steps           []Step
	Backends        []Backend // at least one
	Timeout         time.Duration
	LatencyTarget   time.Duration   // to the first token or the answer; 0: none
	EventGapTarget  time.Duration   // between two events of a stream; 0: none
	Priority        int             // as configured
	MaxAttempts     int             // at least 1
	SessionAffinity bool            // requests of a session keep their service
	Resumable       bool            // a stream may be run again from where it broke off
	AllowedRegions  map[string]bool // nil: all are allowed
}

// IsRetriable reports whether a request on this route may run more than once.
func (r *Route) IsRetriable() bool {
	switch r.Kind {
	case Idempotent:
		return true
	case Streaming:
		return r.Resumable
	}
	return false
}

// ChooseService gives the name of the service for an affinity key. A key keeps its service while the weights stay the
// same.
func (r *Route) ChooseService(key string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Pool
	}
	position := unitInterval(xxhash.Sum64String(r.Name + "\x00" + key))
	for _, backend := range r.Backends {
		if position < backend.CumulativeShare {
			return backend.Pool
		}
	}
	return r.Backends[len(r.Backends)-1].Pool
}

// unitInterval maps a hash to a number from 0 up to, but without, 1. A float64 holds 53 bits.
func unitInterval(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}
