package simtest

import (
	"encoding/json"
	"strings"
	"time"
)

// route is what the judge needs of one route of the newest acknowledged configuration.
type route struct {
	Name            string  `json:"name"`
	Prefix          string  `json:"path_prefix"`
	Service         string  `json:"backend_pool"`
	TimeoutMs       float64 `json:"timeout_ms"`
	TargetLatencyMs float64 `json:"target_latency_ms"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"max_attempts"`
	addedLater      bool    // it was not in the first configuration
	since           time.Time
}

func (r *route) timeout() time.Duration { return milliseconds(r.TimeoutMs) }

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// configurationChange is a complete configuration or a change of one, as an order brings it.
type configurationChange struct {
	Routes []*route `json:"route_table"`
	Upsert struct {
		Routes []*route `json:"route_table"`
	} `json:"upsert"`
	Remove struct {
		Routes []string `json:"route_table"`
	} `json:"remove"`
}

// applyConfiguration brings the judge's routes up to date with an acknowledged order; the caller holds the simulation's lock.
func (sim *Simulation) applyConfiguration(method, body string) {
	var change configurationChange
	if json.Unmarshal([]byte(body), &change) != nil {
		return
	}
	old := sim.routes
	if method == "PUT" {
		sim.routes = map[string]*route{}
	}
	for _, r := range append(change.Routes, change.Upsert.Routes...) {
		r.since = time.Now()
		r.addedLater = sim.configured
		if was := old[r.Name]; was != nil {
			r.addedLater, r.since = was.addedLater, was.since
		}
		sim.routes[r.Name] = r
	}
	for _, name := range change.Remove.Routes {
		delete(sim.routes, name)
	}
	sim.configured = true
}

// routeOf finds the route with the longest prefix of a path; the caller holds the simulation's lock.
func (sim *Simulation) routeOf(path string) *route {
	var best *route
	for _, r := range sim.routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
