package routing

import (
	"strings"
	"time"

	"shaletrestle/internal/config"
)

// Pool is one compiled service.
type Pool struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int     // of all nodes of the fleet together, to its replicas
	WarmupPerSecond float64 // requests a second that a replica takes while it is warming up
	WarmupSeconds   float64 // that a replica is warming up
	Engine          *Engine // nil: its replicas run no model
}

// Engine describes a replica that runs models.
type Engine struct {
	Slots            float64  // requests that run at once
	KVCapacityTokens float64  // of its memory
	KVTokenBytes     float64  // of memory for one token
	LinkMbps         float64  // of its link to its peers, in megabits a second
	Stride           float64  // tokens that one event of an answer may carry
	Models           []string // by name
}

// Limits bound what a client may send. A field that is 0 is not set, and the program's own default holds.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // until the header of a request has come
	IdleTimeout    time.Duration // of a connection between two requests
}

// Table holds what was compiled from one revision of the configuration.
type Table struct {
	Revision   int64               // of the configuration
	hosts      map[string][]*Route // by canonical host, longest prefix first
	Pools      map[string]*Pool    // by name
	Limits     Limits
	RouteCount int // routes in the configuration
}

// Match finds the route with the longest prefix for a host, with or without a port, and the raw target of a request;
// nil if there is none. It allocates only for a host that is not in lower case.
func (t *Table) Match(host, target string) *Route {
	if i := strings.IndexAny(target, "?#"); i >= 0 {
		target = target[:i]
	}
	for _, route := range t.hosts[config.CanonicalHost(host)] {
		if strings.HasPrefix(target, route.Prefix) {
			return route
		}
	}
	return nil
}
