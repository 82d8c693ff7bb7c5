package configcheck

import (
	"fmt"
	"sort"

	"shaletrestle/internal/config"
	"shaletrestle/internal/config/configpb"
	"shaletrestle/internal/state"
)

// checkFleet adds the findings about a configuration that come from the fleet.
func checkFleet(report *Report, doc *config.Document, view *state.View) {
	compareRoutes(report, view.Config.Parsed.RouteTable, doc.Parsed.RouteTable)
	pools := map[string]*configpb.Service{}
	for _, pool := range doc.Parsed.BackendPools {
		pools[pool.Name] = pool
	}
	for _, name := range usedServices(doc.Parsed.RouteTable) {
		capacity := capacityOf(name, view)
		checkReady(report, name, capacity)
		checkConnections(report, pools[name], capacity, view.FleetSize)
	}
	for _, zone := range sortedKeys(view.Evacuated) {
		report.add(severityInfo, "locality "+zone, "is evacuated")
	}
	report.sortBySubject()
}

// compareRoutes reports what a new table of routes changes.
func compareRoutes(report *Report, current, proposed []*configpb.Route) {
	removed := map[string]*configpb.Route{}
	for _, route := range current {
		removed[route.Name] = route
	}
	for _, route := range proposed {
		compareRoute(report, removed[route.Name], route)
		delete(removed, route.Name)
	}
	for name := range removed {
		report.add(severityWarning, "route "+name, "is removed")
	}
}

// compareRoute reports how a route differs from its current form, nil if it is new.
func compareRoute(report *Report, current, proposed *configpb.Route) {
	subject := "route " + proposed.Name
	if current == nil {
		report.add(severityInfo, subject, "is new")
		return
	}
	before, after := servicesOf(current), servicesOf(proposed)
	switch {
	case fmt.Sprint(before) != fmt.Sprint(after):
		report.add(severityWarning, subject, "changes service from %v to %v", sortedKeys(before), sortedKeys(after))
	case current.Hostname != proposed.Hostname || current.PathPrefix != proposed.PathPrefix:
		report.add(severityWarning, subject, "moves from %s%s to %s%s",
			current.Hostname, current.PathPrefix, proposed.Hostname, proposed.PathPrefix)
	}
}

// servicesOf is the set of services that a route sends requests to.
func servicesOf(route *configpb.Route) map[string]bool {
	services := map[string]bool{}
	for _, backend := range route.WeightedBackends {
		if backend.Weight > 0 {
			services[backend.BackendPool] = true
		}
	}
	if len(services) == 0 {
		services[route.BackendPool] = true
	}
	return services
}

// usedServices lists, in order, the services that any route uses.
func usedServices(routes []*configpb.Route) []string {
	used := map[string]bool{}
	for _, route := range routes {
		for name := range servicesOf(route) {
			used[name] = true
		}
	}
	return sortedKeys(used)
}

// serviceCapacity is what the fleet has for one service.
type serviceCapacity struct {
	ready int // replicas
	open  int // ready replicas outside evacuated zones
	slots int // of the open replicas
}

func capacityOf(service string, view *state.View) serviceCapacity {
	var capacity serviceCapacity
	for _, replica := range view.Replicas {
		if replica.Pool != service || replica.State != state.ReplicaReady {
			continue
		}
		capacity.ready++
		if !view.Evacuated[replica.Zone] {
			capacity.open++
			capacity.slots += replica.Slots
		}
	}
	return capacity
}

// checkReady reports a service without replicas that may be used.
func checkReady(report *Report, service string, capacity serviceCapacity) {
	switch {
	case capacity.ready == 0:
		report.add(severityError, "service "+service, "has no ready replica")
	case capacity.open == 0:
		report.add(severityError, "service "+service, "has ready replicas in evacuated localities only")
	}
}

// checkConnections reports a bound of connections that is too low for the nodes that share it.
func checkConnections(report *Report, pool *configpb.Service, capacity serviceCapacity, nodes int) {
	bounded := capacity.open > 0 && nodes > 0 && pool.MaxConnections > 0
	if !bounded {
		return
	}
	subject := "service " + pool.Name
	share := int(pool.MaxConnections) / nodes
	slots := capacity.slots / capacity.open
	switch {
	case share < 1:
		report.add(severityError, subject, "max_connections %.0f is below the %d nodes that share it", pool.MaxConnections, nodes)
	case share*nodes < slots:
		report.add(severityWarning, subject, "%d connections a node to each replica cannot fill its %d slots", share, slots)
	}
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
