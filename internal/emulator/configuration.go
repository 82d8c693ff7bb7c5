package emulator

// Names and bounds of the configurations that are made here.
const (
	testHost        = "emulator.example" // the host of every request of an experiment
	protocolHTTP1   = "h1"
	maxHeaderBytes  = 16384
	maxRequestBytes = 4 << 20
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
	kvTokenBytes    = 18432 // of the memory of a model replica
)

// configuration is the body of a call that changes the operator's configuration:
// a complete one, or one with an upsert only. The fields are in the order of their
// names, so that a body has the same bytes however it was made.
type configuration struct {
	BackendPools []poolConfig  `json:"backend_pools,omitempty"`
	Limits       *limitsConfig `json:"limits,omitempty"`
	Revision     int64         `json:"revision"`
	RouteTable   []routeConfig `json:"route_table,omitempty"`
	Upsert       *upsertConfig `json:"upsert,omitempty"`
}

// upsertConfig lists routes to add or to replace.
type upsertConfig struct {
	RouteTable []routeConfig `json:"route_table"`
}

type routeConfig struct {
	BackendPool     string  `json:"backend_pool"`
	Hostname        string  `json:"hostname"`
	MaxAttempts     int     `json:"max_attempts"`
	Name            string  `json:"name"`
	PathPrefix      string  `json:"path_prefix"`
	Priority        int     `json:"priority"`
	RouteType       string  `json:"route_type"`
	SessionAffinity bool    `json:"session_affinity,omitempty"`
	StreamResume    bool    `json:"stream_resume,omitempty"`
	TargetGapMs     float64 `json:"target_gap_ms,omitempty"`
	TargetLatencyMs float64 `json:"target_latency_ms"`
	TimeoutMs       float64 `json:"timeout_ms"`
}

type poolConfig struct {
	Engine          *engineConfig `json:"engine,omitempty"`
	HealthCheckPath string        `json:"health_check_path"`
	MaxConnections  int           `json:"max_connections"`
	Name            string        `json:"name"`
	Protocol        string        `json:"protocol"`
	TLS             bool          `json:"tls"`
	WarmupPerS      float64       `json:"warmup_per_s"`
	WarmupS         float64       `json:"warmup_s"`
}

type engineConfig struct {
	KvCapacityTokens int           `json:"kv_capacity_tokens"`
	KvTokenBytes     int           `json:"kv_token_bytes"`
	LinkMbps         float64       `json:"link_mbps"`
	Models           []modelConfig `json:"models"`
	Slots            int           `json:"slots"`
	Stride           int           `json:"stride"`
}

type modelConfig struct {
	Name string `json:"name"`
}

type limitsConfig struct {
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	MaxHeaderBytes  int `json:"max_header_bytes"`
}

func defaultLimits() *limitsConfig {
	return &limitsConfig{
		HeaderTimeoutMs: headerTimeoutMs,
		IdleTimeoutMs:   idleTimeoutMs,
		MaxBodyBytes:    maxRequestBytes,
		MaxHeaderBytes:  maxHeaderBytes,
	}
}

// routeChange is a change of one route.
func routeChange(route routeConfig) *configuration {
	return &configuration{Upsert: &upsertConfig{RouteTable: []routeConfig{route}}}
}

// configuration is the one that serves an experiment's kinds of request.
func (x *Experiment) configuration() *configuration {
	config := &configuration{Limits: defaultLimits()}
	for i := range x.Kinds {
		config.RouteTable = append(config.RouteTable, x.Kinds[i].route())
	}
	for i := range x.Services {
		config.BackendPools = append(config.BackendPools, x.Services[i].pool())
	}
	return config
}

func (k *Kind) route() routeConfig {
	return routeConfig{
		BackendPool:     k.Service,
		Hostname:        testHost,
		MaxAttempts:     k.MaxAttempts,
		Name:            "r-" + k.Name,
		PathPrefix:      "/" + k.Name + "/",
		Priority:        1,
		RouteType:       k.Type,
		SessionAffinity: k.Prefixes > 0,
		StreamResume:    k.Resume,
		TargetGapMs:     k.GapMs,
		TargetLatencyMs: k.LatencyTargetMs,
		TimeoutMs:       k.TimeoutMs,
	}
}

func (s *Service) pool() poolConfig {
	pool := poolConfig{
		HealthCheckPath: healthPath,
		MaxConnections:  s.MaxConnections,
		Name:            s.Name,
		Protocol:        protocolHTTP1,
		WarmupPerS:      s.WarmupPerS,
		WarmupS:         s.WarmupS,
	}
	if s.Engine != nil {
		pool.Engine = &engineConfig{
			KvCapacityTokens: s.Engine.MemoryTokens,
			KvTokenBytes:     kvTokenBytes,
			LinkMbps:         1000,
			Models:           []modelConfig{{Name: s.Engine.Model}},
			Slots:            s.Slots,
			Stride:           1,
		}
	}
	return pool
}

// spareRoute is a route that no request uses; its timeout differs with the number.
func (x *Experiment) spareRoute(number int) routeConfig {
	return routeConfig{
		BackendPool:     x.Services[0].Name,
		Hostname:        testHost,
		MaxAttempts:     1,
		Name:            "r-spare",
		PathPrefix:      "/spare/",
		Priority:        3,
		RouteType:       typeIdempotent,
		TargetLatencyMs: 500,
		TimeoutMs:       float64(1000 + number),
	}
}
