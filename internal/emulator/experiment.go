package emulator

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/errkind"
)

// Experiment is one experiment file.
type Experiment struct {
	Name             string    `yaml:"name"`
	Seed             uint64    `yaml:"seed"`
	DurationS        float64   `yaml:"duration_s"`
	ReadyS           float64   `yaml:"ready_s"`
	Address          string    `yaml:"address"` // first loopback address; free ones are found if there is none
	Port             int       `yaml:"port"`    // first port of every machine; likewise
	Fleet            FleetSpec `yaml:"fleet"`
	Platform         ListSpec  `yaml:"platform"`
	Services         []Service `yaml:"services"`
	Kinds            []Kind    `yaml:"kinds"`
	Faults           []Fault   `yaml:"troubles"`
	ChangesPerMinute float64   `yaml:"changes_per_minute"`

	Tallies   *TallySpec     `yaml:"tallies"`   // nil: controllers keep none
	Partition *PartitionSpec `yaml:"partition"` // nil: none
}

// FleetSpec tells which daemons run.
type FleetSpec struct {
	Controllers   int      `yaml:"controllers"`
	Routers       int      `yaml:"routers"`
	Zones         []string `yaml:"zones"`
	MachineLosses int      `yaml:"machine_losses"`
	ZoneDelayMs   float64  `yaml:"zone_delay_ms"` // one way, between daemons of different zones
}

// ListSpec is the platform's list.
type ListSpec struct {
	LagMs    float64 `yaml:"lag_ms"`
	RatePerS float64 `yaml:"rate_per_s"`
	Page     int     `yaml:"page"`
}

// Service is one service and its replicas.
type Service struct {
	Name           string      `yaml:"name"`
	Replicas       int         `yaml:"replicas"`
	Slots          int         `yaml:"slots"`
	Queue          int         `yaml:"queue"`
	WorkMs         float64     `yaml:"work_ms"`
	MaxConnections int         `yaml:"max_connections"`
	StartS         float64     `yaml:"start_s"` // a replica answers this long after its start
	WarmupS        float64     `yaml:"warmup_s"`
	WarmupPerS     float64     `yaml:"warmup_per_s"`
	Engine         *EngineSpec `yaml:"engine"`
}

// EngineSpec makes a service's replicas model replicas.
type EngineSpec struct {
	Model        string  `yaml:"model"`
	MemoryTokens int     `yaml:"memory_tokens"`
	PrefillPerS  float64 `yaml:"prefill_per_s"`
	StepMs       float64 `yaml:"step_ms"`
	StepEachMs   float64 `yaml:"step_each_ms"`
	ChunkTokens  int     `yaml:"chunk_tokens"`
}

// Kind is one kind of request.
type Kind struct {
	Name            string  `yaml:"name"`
	Service         string  `yaml:"service"`
	Type            string  `yaml:"type"` // idempotent, non_idempotent or streaming
	PerS            float64 `yaml:"per_s"`
	Count           int     `yaml:"count"` // at most so many; 0: for the whole duration
	LatencyTargetMs float64 `yaml:"aim_ms"`
	TimeoutMs       float64 `yaml:"timeout_ms"`
	GapMs           float64 `yaml:"gap_ms"`
	MaxAttempts     int     `yaml:"max_attempts"`
	Resume          bool    `yaml:"resume"`
	BodyBytes       int     `yaml:"body_bytes"`
	TokensIn        int     `yaml:"tokens_in"`
	TokensOut       int     `yaml:"tokens_out"`
	Prefixes        int     `yaml:"prefixes"` // different shared prefixes, each a request's first half
	Skew            float64 `yaml:"skew"`     // Zipf exponent of their use above 1; 0: even
}

// The types of requests.
const (
	typeIdempotent    = "idempotent"
	typeNonIdempotent = "non_idempotent"
	typeStreaming     = "streaming"
)

// Fault is one fault of a replica.
type Fault struct {
	AtS     float64 `yaml:"at_s" json:"AtS"`
	ForS    float64 `yaml:"for_s" json:"ForS"`
	Replica string  `yaml:"replica" json:"Replica"` // SERVICE-NUMBER, from 1
	Kind    string  `yaml:"how" json:"How"`
}

// The faults that a replica can have.
const (
	Crash = "crash" // gone; back as a new incarnation
	Dark  = "dark"  // takes requests and does not answer
	Grey  = "grey"  // part of its requests fail, its health is good
	Lying = "lying" // reports that it is idle, and is slow
	Flap  = "flap"  // down and up in turn
	Reset = "reset" // part of its connections are reset
	Drain = "drain" // shuts down gracefully, comes back as a new incarnation
	Cold  = "cold"  // reports that it has just started

	Endless = "endless" // sends bytes without end, in every form that a client can tell from a response that is well
)

// Load reads and checks an experiment file.
func Load(file string) (*Experiment, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "experiment")
	}
	return Parse(content)
}

// Parse reads and checks an experiment; a field that it does not know is an error.
func Parse(content []byte) (*Experiment, error) {
	experiment := &Experiment{}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(experiment); err != nil {
		return nil, parseError(err)
	}
	return experiment, experiment.check()
}

// parseError makes one clear line of a decoder's error.
func parseError(err error) error {
	if errors.Is(err, io.EOF) {
		return badField("file", "is empty")
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		return badField("file:", typeError.Errors[0])
	}
	return errkind.Wrap(errkind.InvalidSettings, err, "experiment")
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// replicaCount is the number of replicas of all services.
func (x *Experiment) replicaCount() int {
	count := 0
	for _, service := range x.Services {
		count += service.Replicas
	}
	return count
}

// requestCount is the number of requests to come.
func (x *Experiment) requestCount() int {
	count := 0
	for _, kind := range x.Kinds {
		count += kind.total(x.DurationS)
	}
	return count
}

// total is the number of requests of a kind in a duration of so many seconds.
func (k *Kind) total(duration float64) int {
	count := int(k.PerS * duration)
	if k.Count > 0 {
		count = min(count, k.Count)
	}
	return count
}

// isIdempotent reports whether a request of this kind may run more than once.
func (k *Kind) isIdempotent() bool {
	return k.Type == typeIdempotent || k.Type == typeStreaming && k.Resume
}

func (x *Experiment) hasReplica(name string) bool {
	for _, service := range x.Services {
		for i := range service.Replicas {
			if replicaName(service.Name, i) == name {
				return true
			}
		}
	}
	return false
}
