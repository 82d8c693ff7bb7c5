package simtest

import (
	"encoding/json"
	"strings"
	"time"
)

// route is what the judge needs of one route of the newest acknowledged configuration.
type route struct {
	Name        string  `json:"name"`
	Prefix      string  `json:"path_prefix"`
	Service     string  `json:"backend_pool"`
	TimeoutMs   float64 `json:"timeout_ms"`
	AimMs       float64 `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	later       bool    // it was not in the first configuration
	since       time.Time
}

func (r *route) timeout() time.Duration { return milliseconds(r.TimeoutMs) }

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// configurationChange is a whole configuration or a change of one, as an order brings it.
type configurationChange struct {
	Routes []*route `json:"route_table"`
	Upsert struct {
		Routes []*route `json:"route_table"`
	} `json:"upsert"`
	Remove struct {
		Routes []string `json:"route_table"`
	} `json:"remove"`
}

// tookConfiguration brings the judge's routes up to date with an acknowledged order; the caller holds the world.
func (w *World) tookConfiguration(method, body string) {
	var change configurationChange
	if json.Unmarshal([]byte(body), &change) != nil {
		return
	}
	old := w.routes
	if method == "PUT" {
		w.routes = map[string]*route{}
	}
	for _, r := range append(change.Routes, change.Upsert.Routes...) {
		r.since = time.Now()
		r.later = w.configured
		if was := old[r.Name]; was != nil {
			r.later, r.since = was.later, was.since
		}
		w.routes[r.Name] = r
	}
	for _, name := range change.Remove.Routes {
		delete(w.routes, name)
	}
	w.configured = true
}

// routeOf finds the route with the longest prefix of a path; the caller holds the world.
func (w *World) routeOf(path string) *route {
	var best *route
	for _, r := range w.routes {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
