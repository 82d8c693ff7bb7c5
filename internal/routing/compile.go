package routing

import (
	"sort"

	"shaletrestle/internal/config"
	"shaletrestle/internal/config/configpb"
	"shaletrestle/internal/durations"
)

// Compile makes the table of a configuration, which must have passed its checks.
func Compile(doc *config.Document) *Table {
	table := &Table{
		Revision:   doc.Revision,
		hosts:      compileHosts(doc.Parsed.RouteTable),
		Pools:      map[string]*Pool{},
		RouteCount: len(doc.Parsed.RouteTable),
	}
	for _, service := range doc.Parsed.BackendPools {
		table.Pools[service.Name] = compilePool(service)
	}
	if limits := doc.Parsed.Limits; limits != nil {
		table.Limits = Limits{
			MaxHeaderBytes: int(limits.MaxHeaderBytes),
			MaxBodyBytes:   int64(limits.MaxBodyBytes),
			HeaderTimeout:  durations.FromMilliseconds(limits.HeaderTimeoutMs),
			IdleTimeout:    durations.FromMilliseconds(limits.IdleTimeoutMs),
		}
	}
	return table
}

// compileHosts groups the routes by host, the longest prefix first.
func compileHosts(routes []*configpb.Route) map[string][]*Route {
	hosts := map[string][]*Route{}
	for _, route := range routes {
		host := config.CanonicalHost(route.Hostname)
		hosts[host] = append(hosts[host], compileRoute(route))
	}
	for _, group := range hosts {
		sort.SliceStable(group, func(i, j int) bool {
			return len(group[i].Prefix) > len(group[j].Prefix)
		})
	}
	return hosts
}

func compilePool(service *configpb.Service) *Pool {
	return &Pool{
		Name:            service.Name,
		HealthCheckPath: service.HealthCheckPath,
		MaxConnections:  int(service.MaxConnections),
		WarmupPerSecond: service.WarmupPerS,
		WarmupSeconds:   service.WarmupS,
		Engine:          compileEngine(service.Engine),
	}
}

func compileEngine(engine *configpb.Engine) *Engine {
	if engine == nil {
		return nil
	}
	compiled := &Engine{
		Slots:            engine.Slots,
		KVCapacityTokens: engine.KvCapacityTokens,
		KVTokenBytes:     engine.KvTokenBytes,
		LinkMbps:         engine.LinkMbps,
		Stride:           engine.Stride,
	}
	for _, model := range engine.Models {
		compiled.Models = append(compiled.Models, model.Name)
	}
	return compiled
}

func compileRoute(route *configpb.Route) *Route {
	compiled := &Route{
		Name:            route.Name,
		Prefix:          route.PathPrefix,
		Kind:            kindOf(route),
		Backends:        compileBackends(route),
		Timeout:         durations.FromMilliseconds(route.TimeoutMs),
		LatencyTarget:   durations.FromMilliseconds(route.TargetLatencyMs),
		EventGapTarget:  durations.FromMilliseconds(route.TargetGapMs),
		Priority:        int(route.Priority),
		MaxAttempts:     max(1, int(route.MaxAttempts)),
		SessionAffinity: route.SessionAffinity,
		Resumable:       route.StreamResume,
		AllowedRegions:  compileRegions(route.AllowedRegions),
	}
	compiled.Steps = stepsOf(compiled)
	return compiled
}

func kindOf(route *configpb.Route) Kind {
	switch route.RouteType {
	case "idempotent":
		return Idempotent
	case "streaming":
		return Streaming
	}
	return AtMostOnce
}

// stepsOf lists the steps of a route whose other fields are set.
func stepsOf(route *Route) []Step {
	steps := []Step{ReadBody, SetDeadline, ChooseService}
	if route.AllowedRegions != nil {
		steps = append(steps, RestrictRegions)
	}
	if route.Kind == Streaming {
		return append(steps, RelayEvents)
	}
	return append(steps, RelayComplete)
}

// compileBackends cumulates the weights of a route's services.
func compileBackends(route *configpb.Route) []Backend {
	if len(route.WeightedBackends) == 0 {
		return []Backend{{Pool: route.BackendPool, CumulativeShare: 1}}
	}
	sum := 0.0
	for _, backend := range route.WeightedBackends {
		sum += backend.Weight
	}
	var backends []Backend
	share := 0.0
	for _, backend := range route.WeightedBackends {
		if backend.Weight > 0 {
			share += backend.Weight / sum
			backends = append(backends, Backend{Pool: backend.BackendPool, CumulativeShare: share})
		}
	}
	return backends
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
