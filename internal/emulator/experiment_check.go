package emulator

import (
	"net"
	"strings"

	"shaletrestle/internal/errkind"
)

// Bounds of an experiment that are not among the constants.
const (
	maxPort             = 65535
	maxMachineLosses    = 2
	maxZoneDelayMs      = 1000
	maxChangesPerMinute = 6000
	maxBodyBytes        = 1 << 20
	maxSkew             = 10
	noMost              = 0 // of a number without an upper bound

	// nameBreakers are the characters that a name must not have: names stand in
	// paths and in quotes.
	nameBreakers = "/ \""
)

func badField(field, why string) error {
	return errkind.New(errkind.InvalidSettings, "experiment: %s %s", field, why)
}

// number is a field that must lie from 0 to an upper bound.
type number struct {
	field string
	value float64
	most  float64
}

func (n number) check() error {
	if !(n.value >= 0) { // also not a number
		return badField(n.field, "must be 0 or more")
	}
	if n.most > 0 && n.value > n.most {
		return errkind.New(errkind.InvalidSettings, "experiment: %s must be at most %v", n.field, n.most)
	}
	return nil
}

func checkNumbers(numbers []number) error {
	for _, number := range numbers {
		if err := number.check(); err != nil {
			return err
		}
	}
	return nil
}

// check refuses what can't be, and sets defaults.
func (x *Experiment) check() error {
	services, err := x.checkServices()
	if err != nil {
		return err
	}
	if err := x.checkKinds(services); err != nil {
		return err
	}
	if err := x.checkTroubles(); err != nil {
		return err
	}
	if err := checkNumbers(x.numbers()); err != nil {
		return err
	}
	x.setDefaults()
	return x.checkTotals()
}

// checkServices checks the names of the services and gives their set.
func (x *Experiment) checkServices() (map[string]bool, error) {
	known := map[string]bool{}
	for _, service := range x.Services {
		if service.Name == "" || strings.ContainsAny(service.Name, nameBreakers) {
			return nil, badField("services", "needs a plain name for each")
		}
		if known[service.Name] {
			return nil, badField("services", "names "+service.Name+" twice")
		}
		known[service.Name] = true
	}
	return known, nil
}

func (x *Experiment) checkKinds(services map[string]bool) error {
	known := map[string]bool{}
	for _, kind := range x.Kinds {
		prefix := "kinds[" + kind.Name + "]."
		switch {
		case kind.Name == "" || strings.ContainsAny(kind.Name, nameBreakers) || known[kind.Name]:
			return badField("kinds", "needs a plain name of its own for each")
		case !services[kind.Service]:
			return badField(prefix+"service", "is not among the services: "+kind.Service)
		case kind.Type != typeIdempotent && kind.Type != typeNonIdempotent && kind.Type != typeStreaming:
			return badField(prefix+"type", "must be idempotent, non_idempotent or streaming")
		case kind.Skew > 0 && kind.Skew <= 1:
			return badField(prefix+"skew", "must be 0 or above 1")
		}
		known[kind.Name] = true
	}
	return nil
}

func (x *Experiment) checkTroubles() error {
	for _, trouble := range x.Troubles {
		switch trouble.How {
		case Crash, Dark, Grey, Lying, Flap, Reset, Drain, Cold:
		default:
			return badField("troubles.how", "is not one of crash, dark, grey, lying, flap, reset, drain, cold: "+trouble.How)
		}
	}
	return nil
}

// checkTotals checks what depends on several fields, once the defaults are set.
func (x *Experiment) checkTotals() error {
	if x.Fleet.MachineLosses > 0 && x.Fleet.Controllers < 3 {
		return badField("fleet.machine_losses", "needs three controllers")
	}
	if x.replicaCount() > yardReplicas {
		return badField("services", "have more replicas than are allowed")
	}
	if x.requestCount() > yardRequests {
		return badField("kinds", "ask for more requests than are allowed")
	}
	for _, trouble := range x.Troubles {
		if !x.hasReplica(trouble.Replica) {
			return badField("troubles.replica", "names none: "+trouble.Replica)
		}
	}
	if x.Address != "" && !isLoopback(x.Address) {
		return badField("address", "must be a loopback address")
	}
	return nil
}

func isLoopback(address string) bool {
	ip := net.ParseIP(address).To4()
	return ip != nil && ip.IsLoopback()
}

// numbers lists all numbers of an experiment.
func (x *Experiment) numbers() []number {
	numbers := []number{
		{"duration_s", x.Duration, yardDuration},
		{"ready_s", x.Ready, yardDuration},
		{"port", float64(x.Port), maxPort - yardPorts},
		{"fleet.controllers", float64(x.Fleet.Controllers), yardNodes},
		{"fleet.routers", float64(x.Fleet.Routers), yardNodes},
		{"fleet.machine_losses", float64(x.Fleet.MachineLosses), maxMachineLosses},
		{"fleet.zone_delay_ms", x.Fleet.ZoneDelayMs, maxZoneDelayMs},
		{"platform.lag_ms", x.Platform.LagMs, noMost},
		{"platform.rate_per_s", x.Platform.Rate, noMost},
		{"platform.page", float64(x.Platform.Page), noMost},
		{"changes_per_minute", x.Changes, maxChangesPerMinute},
	}
	for i := range x.Services {
		numbers = append(numbers, x.Services[i].numbers()...)
	}
	for i := range x.Kinds {
		numbers = append(numbers, x.Kinds[i].numbers()...)
	}
	for _, trouble := range x.Troubles {
		prefix := "troubles[" + trouble.Replica + "]."
		numbers = append(numbers,
			number{prefix + "at_s", trouble.AtS, yardDuration},
			number{prefix + "for_s", trouble.ForS, yardDuration})
	}
	return numbers
}

func (s *Service) numbers() []number {
	prefix := "services[" + s.Name + "]."
	numbers := []number{
		{prefix + "replicas", float64(s.Replicas), yardReplicas},
		{prefix + "slots", float64(s.Slots), noMost},
		{prefix + "queue", float64(s.Queue), noMost},
		{prefix + "work_ms", s.WorkMs, noMost},
		{prefix + "max_connections", float64(s.Channels), noMost},
		{prefix + "start_s", s.StartS, noMost},
		{prefix + "warmup_s", s.WarmupS, noMost},
		{prefix + "warmup_per_s", s.WarmupPerS, noMost},
	}
	engine := s.Engine
	if engine == nil {
		return numbers
	}
	return append(numbers,
		number{prefix + "engine.memory_tokens", float64(engine.Memory), noMost},
		number{prefix + "engine.prefill_per_s", engine.Prefill, noMost},
		number{prefix + "engine.step_ms", engine.StepMs, noMost},
		number{prefix + "engine.step_each_ms", engine.EachMs, noMost},
		number{prefix + "engine.chunk_tokens", float64(engine.Chunk), noMost})
}

func (k *Kind) numbers() []number {
	prefix := "kinds[" + k.Name + "]."
	return []number{
		{prefix + "per_s", k.PerS, yardRate},
		{prefix + "count", float64(k.Count), yardRequests},
		{prefix + "aim_ms", k.AimMs, noMost},
		{prefix + "timeout_ms", k.TimeoutMs, noMost},
		{prefix + "gap_ms", k.GapMs, noMost},
		{prefix + "max_attempts", float64(k.Attempts), noMost},
		{prefix + "body_bytes", float64(k.Bytes), maxBodyBytes},
		{prefix + "tokens_in", float64(k.In), noMost},
		{prefix + "tokens_out", float64(k.Out), noMost},
		{prefix + "prefixes", float64(k.Prefixes), noMost},
		{prefix + "skew", k.Skew, maxSkew},
	}
}
