// Package emulator emulates what the fleet serves, on loopback addresses: model replicas, the platform's list, the operator and clients. It starts real daemons beside them, loads them and measures.
package emulator

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
)

// Experiment is one experiment file.
type Experiment struct {
	Name     string    `yaml:"name"`
	Seed     uint64    `yaml:"seed"`
	Duration float64   `yaml:"duration_s"`
	Ready    float64   `yaml:"ready_s"`
	Address  string    `yaml:"address"` // first loopback address; free ones are found if there is none
	Port     int       `yaml:"port"`    // first port of every machine; likewise
	Fleet    FleetSpec `yaml:"fleet"`
	Platform ListSpec  `yaml:"platform"`
	Services []Service `yaml:"services"`
	Kinds    []Kind    `yaml:"kinds"`
	Troubles []Trouble `yaml:"troubles"`
	Changes  float64   `yaml:"changes_per_minute"`
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
	LagMs float64 `yaml:"lag_ms"`
	Rate  float64 `yaml:"rate_per_s"`
	Page  int     `yaml:"page"`
}

// Service is one service and its replicas.
type Service struct {
	Name       string      `yaml:"name"`
	Replicas   int         `yaml:"replicas"`
	Slots      int         `yaml:"slots"`
	Queue      int         `yaml:"queue"`
	WorkMs     float64     `yaml:"work_ms"`
	Channels   int         `yaml:"max_connections"`
	StartS     float64     `yaml:"start_s"` // a replica answers this long after its start
	WarmupS    float64     `yaml:"warmup_s"`
	WarmupPerS float64     `yaml:"warmup_per_s"`
	Engine     *EngineSpec `yaml:"engine"`
}

// EngineSpec makes a service's replicas model replicas.
type EngineSpec struct {
	Model   string  `yaml:"model"`
	Memory  int     `yaml:"memory_tokens"`
	Prefill float64 `yaml:"prefill_per_s"`
	StepMs  float64 `yaml:"step_ms"`
	EachMs  float64 `yaml:"step_each_ms"`
	Chunk   int     `yaml:"chunk_tokens"`
}

// Kind is one kind of request.
type Kind struct {
	Name      string  `yaml:"name"`
	Service   string  `yaml:"service"`
	Type      string  `yaml:"type"` // idempotent, non_idempotent or streaming
	PerS      float64 `yaml:"per_s"`
	Count     int     `yaml:"count"` // at most so many; 0: for the whole duration
	AimMs     float64 `yaml:"aim_ms"`
	TimeoutMs float64 `yaml:"timeout_ms"`
	GapMs     float64 `yaml:"gap_ms"`
	Attempts  int     `yaml:"max_attempts"`
	Resume    bool    `yaml:"resume"`
	Bytes     int     `yaml:"body_bytes"`
	In        int     `yaml:"tokens_in"`
	Out       int     `yaml:"tokens_out"`
	Prefixes  int     `yaml:"prefixes"` // different shared prefixes, each a request's first half
	Skew      float64 `yaml:"skew"`     // Zipf exponent of their use above 1; 0: even
}

// Trouble is one fault of a replica.
type Trouble struct {
	AtS     float64 `yaml:"at_s"`
	ForS    float64 `yaml:"for_s"`
	Replica string  `yaml:"replica"` // SERVICE-NUMBER, from 1
	How     string  `yaml:"how"`
}

// The troubles that a replica can be in.
const (
	Crash = "crash" // gone; back as a new life
	Dark  = "dark"  // takes requests and says nothing
	Grey  = "grey"  // part of its requests fail, its health is good
	Lying = "lying" // says that it is idle, and is slow
	Flap  = "flap"  // down and up in turn
	Reset = "reset" // part of its connections are reset
	Drain = "drain" // leaves in order, comes back as a new life
	Cold  = "cold"  // says that it has just started
)

func bad(field, why string) error {
	return errkind.New(errkind.BadEnv, "experiment: %s %s", field, why)
}

// Load reads and checks an experiment file.
func Load(file string) (*Experiment, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadEnv, err, "experiment")
	}
	return Parse(b)
}

// Parse reads and checks an experiment; a field that it does not know is an error.
func Parse(b []byte) (*Experiment, error) {
	x := &Experiment{}
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(x); err != nil {
		var te *yaml.TypeError
		switch {
		case errors.Is(err, io.EOF):
			return nil, bad("file", "is empty")
		case errors.As(err, &te):
			return nil, bad("file:", te.Errors[0])
		}
		return nil, errkind.Wrap(errkind.BadEnv, err, "experiment")
	}
	return x, x.check()
}

type number struct {
	field string
	value float64
	most  float64
}

func (n number) check() error {
	if !(n.value >= 0) {
		return bad(n.field, "must be 0 or more")
	}
	if n.most > 0 && n.value > n.most {
		return errkind.New(errkind.BadEnv, "experiment: %s must be at most %v", n.field, n.most)
	}
	return nil
}

func orInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func orFloat(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
}

func millis(d clock.Span) float64 { return float64(d) / 1e6 }

// check refuses what can't be and puts defaults in place of what is not said.
func (x *Experiment) check() error {
	ns := []number{{"duration_s", x.Duration, constants.YardDuration}, {"ready_s", x.Ready, constants.YardDuration}, {"port", float64(x.Port), 65535 - constants.YardPorts},
		{"fleet.controllers", float64(x.Fleet.Controllers), constants.YardNodes}, {"fleet.routers", float64(x.Fleet.Routers), constants.YardNodes},
		{"fleet.machine_losses", float64(x.Fleet.MachineLosses), 2}, {"fleet.zone_delay_ms", x.Fleet.ZoneDelayMs, 1000},
		{"platform.lag_ms", x.Platform.LagMs, 0}, {"platform.rate_per_s", x.Platform.Rate, 0}, {"platform.page", float64(x.Platform.Page), 0},
		{"changes_per_minute", x.Changes, 6000}}
	known, all := map[string]*Service{}, 0
	for i := range x.Services {
		s := &x.Services[i]
		at := "services[" + s.Name + "]."
		ns = append(ns, number{at + "replicas", float64(s.Replicas), constants.YardReplicas}, number{at + "slots", float64(s.Slots), 0}, number{at + "queue", float64(s.Queue), 0},
			number{at + "work_ms", s.WorkMs, 0}, number{at + "max_connections", float64(s.Channels), 0}, number{at + "start_s", s.StartS, 0}, number{at + "warmup_s", s.WarmupS, 0}, number{at + "warmup_per_s", s.WarmupPerS, 0})
		if e := s.Engine; e != nil {
			ns = append(ns, number{at + "engine.memory_tokens", float64(e.Memory), 0}, number{at + "engine.prefill_per_s", e.Prefill, 0}, number{at + "engine.step_ms", e.StepMs, 0},
				number{at + "engine.step_each_ms", e.EachMs, 0}, number{at + "engine.chunk_tokens", float64(e.Chunk), 0})
		}
		if s.Name == "" || strings.ContainsAny(s.Name, "/ \"") {
			return bad("services", "needs a plain name for each")
		}
		if known[s.Name] != nil {
			return bad("services", "names "+s.Name+" twice")
		}
		known[s.Name] = s
		all += s.Replicas
	}
	named := map[string]bool{}
	for _, k := range x.Kinds {
		at := "kinds[" + k.Name + "]."
		ns = append(ns, number{at + "per_s", k.PerS, constants.YardRate}, number{at + "count", float64(k.Count), constants.YardRequests}, number{at + "aim_ms", k.AimMs, 0}, number{at + "timeout_ms", k.TimeoutMs, 0},
			number{at + "gap_ms", k.GapMs, 0}, number{at + "max_attempts", float64(k.Attempts), 0}, number{at + "body_bytes", float64(k.Bytes), 1 << 20}, number{at + "tokens_in", float64(k.In), 0},
			number{at + "tokens_out", float64(k.Out), 0}, number{at + "prefixes", float64(k.Prefixes), 0}, number{at + "skew", k.Skew, 10})
		switch {
		case k.Name == "" || strings.ContainsAny(k.Name, "/ \"") || named[k.Name]:
			return bad("kinds", "needs a plain name of its own for each")
		case known[k.Service] == nil:
			return bad(at+"service", "is not among the services: "+k.Service)
		case k.Type != "idempotent" && k.Type != "non_idempotent" && k.Type != "streaming":
			return bad(at+"type", "must be idempotent, non_idempotent or streaming")
		case k.Skew > 0 && k.Skew <= 1:
			return bad(at+"skew", "must be 0 or above 1")
		}
		named[k.Name] = true
	}
	for _, t := range x.Troubles {
		ns = append(ns, number{"troubles[" + t.Replica + "].at_s", t.AtS, constants.YardDuration}, number{"troubles[" + t.Replica + "].for_s", t.ForS, constants.YardDuration})
		switch t.How {
		case Crash, Dark, Grey, Lying, Flap, Reset, Drain, Cold:
		default:
			return bad("troubles.how", "is not one of crash, dark, grey, lying, flap, reset, drain, cold: "+t.How)
		}
	}
	for _, n := range ns {
		if err := n.check(); err != nil {
			return err
		}
	}
	x.fill()
	if x.Fleet.MachineLosses > 0 && x.Fleet.Controllers < 3 {
		return bad("fleet.machine_losses", "needs three controllers")
	}
	if all > constants.YardReplicas {
		return bad("services", "have more replicas than are allowed")
	}
	if x.requests() > constants.YardRequests {
		return bad("kinds", "ask for more requests than are allowed")
	}
	for _, t := range x.Troubles {
		if !x.hasReplica(t.Replica) {
			return bad("troubles.replica", "names none: "+t.Replica)
		}
	}
	if x.Address != "" {
		ip := net.ParseIP(x.Address).To4()
		if ip == nil || ip[0] != 127 {
			return bad("address", "must be a loopback address")
		}
	}
	return nil
}

func (x *Experiment) fill() {
	if x.Name == "" {
		x.Name = "experiment"
	}
	orFloat(&x.Duration, 10)
	orFloat(&x.Ready, constants.YardReadyWait.Seconds())
	orInt(&x.Fleet.Controllers, 1)
	orInt(&x.Fleet.Routers, 1)
	if len(x.Fleet.Zones) == 0 {
		x.Fleet.Zones = []string{"here"}
	}
	orFloat(&x.Platform.LagMs, millis(constants.YardLag))
	orFloat(&x.Platform.Rate, constants.YardListRate)
	orInt(&x.Platform.Page, constants.YardPage)
	for i := range x.Services {
		s := &x.Services[i]
		orInt(&s.Slots, constants.YardSlots)
		orInt(&s.Queue, constants.YardQueue)
		orFloat(&s.WorkMs, millis(constants.YardWork))
		orInt(&s.Channels, constants.YardChannels)
		if e := s.Engine; e != nil {
			if e.Model == "" {
				e.Model = "m"
			}
			orInt(&e.Memory, constants.YardMemory)
			orFloat(&e.Prefill, constants.YardPrefill)
			orFloat(&e.StepMs, millis(constants.YardStep))
			orFloat(&e.EachMs, millis(constants.YardEach))
			orInt(&e.Chunk, constants.YardChunk)
		}
	}
	for i := range x.Kinds {
		k := &x.Kinds[i]
		orFloat(&k.AimMs, millis(constants.YardAim))
		orFloat(&k.TimeoutMs, millis(constants.YardTimeout))
		orFloat(&k.GapMs, millis(constants.YardGap))
		orInt(&k.Attempts, 2)
		orInt(&k.Out, 8)
		orInt(&k.In, 64)
	}
}

// requests is the number of requests to come.
func (x *Experiment) requests() (n int) {
	for _, k := range x.Kinds {
		n += k.total(x.Duration)
	}
	return
}

// total is the number of requests of a kind in a duration of so many seconds.
func (k *Kind) total(duration float64) int {
	n := int(k.PerS * duration)
	if k.Count > 0 {
		n = min(n, k.Count)
	}
	return n
}

func (x *Experiment) hasReplica(name string) bool {
	for _, s := range x.Services {
		for i := range s.Replicas {
			if replicaName(s.Name, i) == name {
				return true
			}
		}
	}
	return false
}
