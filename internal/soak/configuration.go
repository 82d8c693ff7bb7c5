package soak

import "fmt"

// Hosts and prefixes of the routes that stay for a whole run.
const (
	stableHost   = "soak.example"
	pathRepeat   = "/repeat/"
	pathOnce     = "/once/"
	pathStream   = "/stream/"
	pathResume   = "/resume/"
	markerName   = "marker"
	addedRoutes  = 12 // of those that come and go, so many stay
	routeTimeout = 4000
	idleLimitMs  = 2500
)

// route is a route as it is sent.
type route struct {
	Name            string    `json:"name"`
	Hostname        string    `json:"hostname"`
	PathPrefix      string    `json:"path_prefix"`
	RouteType       string    `json:"route_type"`
	TimeoutMs       int       `json:"timeout_ms"`
	TargetLatencyMs int       `json:"target_latency_ms"`
	MaxAttempts     int       `json:"max_attempts"`
	BackendPool     string    `json:"backend_pool,omitempty"`
	Weighted        []backend `json:"weighted_backends,omitempty"`
	TargetGapMs     int       `json:"target_gap_ms,omitempty"`
	StreamResume    bool      `json:"stream_resume,omitempty"`
}

type backend struct {
	BackendPool string `json:"backend_pool"`
	Weight      int    `json:"weight"`
}

type pool struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	MaxConnections  int     `json:"max_connections"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls"`
	WarmupS         float64 `json:"warmup_s"`
	WarmupPerS      float64 `json:"warmup_per_s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// configuration is a complete configuration, or a change of one.
type configuration struct {
	Revision int64       `json:"revision"`
	Routes   []route     `json:"route_table,omitempty"`
	Pools    []pool      `json:"backend_pools,omitempty"`
	Limits   *limits     `json:"limits,omitempty"`
	Upsert   *routeLists `json:"upsert,omitempty"`
	Remove   *nameLists  `json:"remove,omitempty"`
}

type routeLists struct {
	Routes []route `json:"route_table"`
}

type nameLists struct {
	Routes []string `json:"route_table"`
}

func plainRoute(name, host, prefix, kind, service string) route {
	return route{
		Name: name, Hostname: host, PathPrefix: prefix, RouteType: kind, BackendPool: service,
		TimeoutMs: routeTimeout, TargetLatencyMs: 500, MaxAttempts: 2,
	}
}

// stableRoutes stay for the whole run.
func stableRoutes() []route {
	stream := plainRoute("stream", stableHost, pathStream, "streaming", serviceModel)
	stream.TargetGapMs = 400
	resume := plainRoute("resume", stableHost, pathResume, "streaming", serviceModel)
	resume.TargetGapMs, resume.StreamResume = 400, true
	return []route{
		plainRoute("repeat", stableHost, pathRepeat, "idempotent", serviceDesk),
		plainRoute("once", stableHost, pathOnce, "non_idempotent", serviceDesk),
		stream,
		resume,
	}
}

// firstConfiguration is the one that a run begins with.
func firstConfiguration(marker string) *configuration {
	newPool := func(name string) pool {
		return pool{Name: name, HealthCheckPath: "/health", MaxConnections: 90, Protocol: "h1"}
	}
	return &configuration{
		Revision: 1,
		Routes:   append(stableRoutes(), markerRoute(marker)),
		Pools:    []pool{newPool(serviceDesk), newPool(serviceModel)},
		Limits:   &limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxRequestBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: idleLimitMs},
	}
}

// markerRoute names the change that wrote the configuration: each replaces it.
func markerRoute(marker string) route {
	return plainRoute(markerName, "marker."+marker, "/marker/", "idempotent", serviceDesk)
}

// addedName names the route that a change adds.
func addedName(marker string) string { return "added-" + marker }

// addedHost is the host of that route.
func addedHost(marker string) string { return fmt.Sprintf("added.%s.example", marker) }

// change is the change that a marker stands for: it adds a route and removes an older one.
func change(revision int64, marker, oldest string) *configuration {
	added := plainRoute(addedName(marker), addedHost(marker), "/added/", "idempotent", serviceDesk)
	c := &configuration{Revision: revision, Upsert: &routeLists{Routes: []route{markerRoute(marker), added}}}
	if oldest != "" {
		c.Remove = &nameLists{Routes: []string{addedName(oldest)}}
	}
	return c
}
