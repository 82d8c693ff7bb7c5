package emulator

import (
	"net"
	"slices"
	"strings"

	"shaletrestle/internal/errkind"
)

// Bounds of the size of an experiment.
const (
	maxDurationS        = 600    // s; longest experiment
	maxRequests         = 200000 // requests of one experiment at most
	maxRatePerS         = 5000   // requests a second of one kind at most
	maxReplicas         = 2000   // replicas at most
	maxDaemons          = 400    // daemons at most
	maxPort             = 65535
	maxMachineLosses    = 2
	maxZoneDelayMs      = 1000
	maxChangesPerMinute = 6000
	maxBodyBytes        = 1 << 20
	maxSkew             = 10
	maxTallyNames       = 100
	maxTalliesPerS      = 500 // additions a second
	unbounded           = 0   // of a number without an upper bound

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
	max   float64
}

func (n number) check() error {
	if !(n.value >= 0) { // also not a number
		return badField(n.field, "must be 0 or more")
	}
	if n.max > 0 && n.value > n.max {
		return errkind.New(errkind.InvalidSettings, "experiment: %s must be at most %v", n.field, n.max)
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

// check rejects what can't be, and sets defaults.
func (x *Experiment) check() error {
	services, err := x.checkServices()
	if err != nil {
		return err
	}
	if err := x.checkKinds(services); err != nil {
		return err
	}
	if err := x.checkFaults(); err != nil {
		return err
	}
	if err := checkNumbers(x.numbers()); err != nil {
		return err
	}
	if err := x.checkPartition(); err != nil {
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

// checkPartition checks the zone of the partition.
func (x *Experiment) checkPartition() error {
	if x.Partition != nil && !slices.Contains(x.Fleet.Zones, x.Partition.Zone) {
		return badField("partition.zone", "is not among the fleet's zones: "+x.Partition.Zone)
	}
	return nil
}

func (x *Experiment) checkFaults() error {
	for _, fault := range x.Faults {
		switch fault.Kind {
		case Crash, Dark, Grey, Lying, Flap, Reset, Drain, Cold, Endless:
		default:
			return badField("troubles.how", "is not one of crash, dark, grey, lying, flap, reset, drain, cold, endless: "+fault.Kind)
		}
	}
	return nil
}

// checkTotals checks what depends on several fields, once the defaults are set.
func (x *Experiment) checkTotals() error {
	if x.Fleet.MachineLosses > 0 && x.Fleet.Controllers < 3 {
		return badField("fleet.machine_losses", "needs three controllers")
	}
	if x.replicaCount() > maxReplicas {
		return badField("services", "have more replicas than are allowed")
	}
	if x.requestCount() > maxRequests {
		return badField("kinds", "ask for more requests than are allowed")
	}
	for _, fault := range x.Faults {
		if !x.hasReplica(fault.Replica) {
			return badField("troubles.replica", "names none: "+fault.Replica)
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
		{"duration_s", x.DurationS, maxDurationS},
		{"ready_s", x.ReadyS, maxDurationS},
		{"port", float64(x.Port), maxPort - portsPerMachine},
		{"fleet.controllers", float64(x.Fleet.Controllers), maxDaemons},
		{"fleet.routers", float64(x.Fleet.Routers), maxDaemons},
		{"fleet.machine_losses", float64(x.Fleet.MachineLosses), maxMachineLosses},
		{"fleet.zone_delay_ms", x.Fleet.ZoneDelayMs, maxZoneDelayMs},
		{"platform.lag_ms", x.Platform.LagMs, unbounded},
		{"platform.rate_per_s", x.Platform.RatePerS, unbounded},
		{"platform.page", float64(x.Platform.Page), unbounded},
		{"changes_per_minute", x.ChangesPerMinute, maxChangesPerMinute},
	}
	for i := range x.Services {
		numbers = append(numbers, x.Services[i].numbers()...)
	}
	for i := range x.Kinds {
		numbers = append(numbers, x.Kinds[i].numbers()...)
	}
	if tallies := x.Tallies; tallies != nil {
		numbers = append(numbers,
			number{"tallies.per_s", tallies.PerS, maxTalliesPerS},
			number{"tallies.names", float64(tallies.Names), maxTallyNames})
	}
	if partition := x.Partition; partition != nil {
		numbers = append(numbers,
			number{"partition.at_s", partition.AtS, maxDurationS},
			number{"partition.for_s", partition.ForS, maxDurationS})
	}
	for _, fault := range x.Faults {
		prefix := "troubles[" + fault.Replica + "]."
		numbers = append(numbers,
			number{prefix + "at_s", fault.AtS, maxDurationS},
			number{prefix + "for_s", fault.ForS, maxDurationS})
	}
	return numbers
}

func (s *Service) numbers() []number {
	prefix := "services[" + s.Name + "]."
	numbers := []number{
		{prefix + "replicas", float64(s.Replicas), maxReplicas},
		{prefix + "slots", float64(s.Slots), unbounded},
		{prefix + "queue", float64(s.Queue), unbounded},
		{prefix + "work_ms", s.WorkMs, unbounded},
		{prefix + "max_connections", float64(s.MaxConnections), unbounded},
		{prefix + "start_s", s.StartS, unbounded},
		{prefix + "warmup_s", s.WarmupS, unbounded},
		{prefix + "warmup_per_s", s.WarmupPerS, unbounded},
	}
	engine := s.Engine
	if engine == nil {
		return numbers
	}
	return append(numbers,
		number{prefix + "engine.memory_tokens", float64(engine.MemoryTokens), unbounded},
		number{prefix + "engine.prefill_per_s", engine.PrefillPerS, unbounded},
		number{prefix + "engine.step_ms", engine.StepMs, unbounded},
		number{prefix + "engine.step_each_ms", engine.StepEachMs, unbounded},
		number{prefix + "engine.chunk_tokens", float64(engine.ChunkTokens), unbounded})
}

func (k *Kind) numbers() []number {
	prefix := "kinds[" + k.Name + "]."
	return []number{
		{prefix + "per_s", k.PerS, maxRatePerS},
		{prefix + "count", float64(k.Count), maxRequests},
		{prefix + "aim_ms", k.LatencyTargetMs, unbounded},
		{prefix + "timeout_ms", k.TimeoutMs, unbounded},
		{prefix + "gap_ms", k.GapMs, unbounded},
		{prefix + "max_attempts", float64(k.MaxAttempts), unbounded},
		{prefix + "body_bytes", float64(k.BodyBytes), maxBodyBytes},
		{prefix + "tokens_in", float64(k.TokensIn), unbounded},
		{prefix + "tokens_out", float64(k.TokensOut), unbounded},
		{prefix + "prefixes", float64(k.Prefixes), unbounded},
		{prefix + "skew", k.Skew, maxSkew},
	}
}
