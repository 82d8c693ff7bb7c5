// Package routing compiles the operator's configuration into a table: which path
// a request takes and the steps of its handling.
package routing

import (
	"strings"
	"time"
)

// Pool is one compiled service.
type Pool struct {
	Name            string
	HealthCheckPath string  // path of the health check
	MaxConnections  int     // connections at most
	WarmupPerSecond float64 // requests a second that a replica takes while it warms up
	WarmupSeconds   float64 // seconds that a replica warms up
	Engine          *Engine // nil: its replicas run no model
}

// Engine describes the memory of a model replica.
type Engine struct {
	Slots            float64
	KVCapacityTokens float64
	KVTokenBytes     float64
	LinkMbps         float64
	Stride           float64
	Models           []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int   // bytes
	MaxBodyBytes   int64 // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table holds what was compiled from one revision of the configuration. It is
// never changed after it was made.
type Table struct {
	Revision   int64               // the configuration's revision
	hosts      map[string][]*Route // by lower-case host, longest prefix first
	Pools      map[string]*Pool
	Limits     Limits
	RouteCount int // routes in the configuration
}

// Match finds the path with the longest prefix for a host and a raw target, nil
// if there is none.
func (t *Table) Match(host, target string) *Route {
	host = withoutPort(host)
	if i := strings.IndexAny(target, "?#"); i >= 0 {
		target = target[:i]
	}
	for _, path := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(target, path.Prefix) {
			return path
		}
	}
	return nil
}

// withoutPort cuts the port off a host; the colons of a bare IPv6 address in
// brackets stay.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}
