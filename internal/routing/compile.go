package routing

import (
	"sort"
	"strings"

	"shaletrestle/internal/durations"

	"shaletrestle/internal/config"
	"shaletrestle/internal/config/configpb"
)

// Compile makes the table of a configuration.
func Compile(doc *config.Document) *Table {
	table := &Table{
		Epoch: doc.Revision,
		hosts: compileHosts(doc.Parsed.RouteTable),
		Pools: map[string]*Pool{},
		Paths: len(doc.Parsed.RouteTable),
	}
	for _, service := range doc.Parsed.BackendPools {
		table.Pools[service.Name] = compilePool(service)
	}
	if limits := doc.Parsed.Limits; limits != nil {
		table.Limits = Limits{
			Head:     int(limits.MaxHeaderBytes),
			Body:     int64(limits.MaxBodyBytes),
			HeadWait: durations.FromMilliseconds(limits.HeaderTimeoutMs),
			IdleWait: durations.FromMilliseconds(limits.IdleTimeoutMs),
		}
	}
	return table
}

// compileHosts groups the paths by host, the longest prefix first.
func compileHosts(routes []*configpb.Route) map[string][]*Path {
	hosts := map[string][]*Path{}
	for _, route := range routes {
		host := strings.ToLower(route.Hostname)
		hosts[host] = append(hosts[host], compilePath(route))
	}
	for _, paths := range hosts {
		sort.SliceStable(paths, func(i, j int) bool {
			return len(paths[i].Prefix) > len(paths[j].Prefix)
		})
	}
	return hosts
}

func compilePool(service *configpb.Service) *Pool {
	return &Pool{
		Name:     service.Name,
		Health:   service.HealthCheckPath,
		Channels: int(service.MaxConnections),
		ColdPerS: service.WarmupPerS,
		ColdS:    service.WarmupS,
		Engine:   compileEngine(service.Engine),
	}
}

func compileEngine(engine *configpb.Engine) *Engine {
	if engine == nil {
		return nil
	}
	compiled := &Engine{
		Slots:      engine.Slots,
		Tokens:     engine.KvCapacityTokens,
		TokenBytes: engine.KvTokenBytes,
		LinkMbps:   engine.LinkMbps,
		Stride:     engine.Stride,
	}
	for _, model := range engine.Models {
		compiled.Models = append(compiled.Models, model.Name)
	}
	return compiled
}

func compilePath(route *configpb.Route) *Path {
	path := &Path{
		Name:     route.Name,
		Prefix:   route.PathPrefix,
		Kind:     kindOf(route),
		Parts:    compileParts(route),
		Timeout:  durations.FromMilliseconds(route.TimeoutMs),
		Aim:      durations.FromMilliseconds(route.TargetLatencyMs),
		Gap:      durations.FromMilliseconds(route.TargetGapMs),
		Priority: int(route.Priority),
		Attempts: max(1, int(route.MaxAttempts)),
		Sticky:   route.SessionAffinity,
		Resume:   route.StreamResume,
		Regions:  compileRegions(route.AllowedRegions),
	}
	path.Steps = stepsOf(path)
	return path
}

func kindOf(route *configpb.Route) Kind {
	switch route.RouteType {
	case "idempotent":
		return Repeat
	case "streaming":
		return Stream
	}
	return Once
}

// stepsOf lists the steps of a path whose other fields are set.
func stepsOf(path *Path) []Op {
	steps := []Op{TakeBody, SetClock, Split}
	if path.Regions != nil {
		steps = append(steps, Fence)
	}
	if path.Kind == Stream {
		return append(steps, Events)
	}
	return append(steps, Whole)
}

// compileParts cumulates the weights of a path's services.
func compileParts(route *configpb.Route) []Part {
	if len(route.WeightedBackends) == 0 {
		return []Part{{Pool: route.BackendPool, Upto: 1}}
	}
	sum := 0.0
	for _, backend := range route.WeightedBackends {
		sum += backend.Weight
	}
	var parts []Part
	upto := 0.0
	for _, backend := range route.WeightedBackends {
		if backend.Weight > 0 {
			upto += backend.Weight / sum
			parts = append(parts, Part{Pool: backend.BackendPool, Upto: upto})
		}
	}
	return parts
}

// compileRegions gives the allowed regions, nil if all are.
func compileRegions(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	regions := map[string]bool{}
	for _, name := range names {
		regions[name] = true
	}
	return regions
}
