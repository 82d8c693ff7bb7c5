package config

import (
	"fmt"
	"math"

	"shaletrestle/internal/config/configpb"
)

// InvalidError says why a configuration or a change of it is invalid, and names the value that makes it so. Its text
// is that of the answer to the operator.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

func invalid(format string, values ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, values...)}
}

// check sets the typed form of a merged document and checks the rules of validity; before is the document that it
// replaces, nil if there is none.
func (d *Document) check(before *Document) error {
	if before != nil && d.Revision <= before.Revision {
		return notAbove(d.Revision, before.Revision)
	}
	if err := d.setTyped(); err != nil {
		return err
	}
	pools := map[string]bool{}
	for _, pool := range d.Parsed.BackendPools {
		pools[pool.Name] = true
	}
	return d.checkRoutes(before, pools)
}

func notAbove(revision, before int64) error {
	return invalid("%s %d is not above %d", keyRevision, revision, before)
}

// setTyped sets the typed form. Its items are typed already.
func (d *Document) setTyped() error {
	parsed := &configpb.Configuration{}
	if err := unmarshalKnown(d.encode(nil), parsed); err != nil {
		return err
	}
	parsed.RouteTable = typed[*configpb.Route](d.lists[keyRoutes])
	parsed.BackendPools = typed[*configpb.Service](d.lists[keyPools])
	d.Parsed = parsed
	return nil
}

// routeKey is the canonical host and the path prefix that a route matches; no two routes have the same.
type routeKey struct{ host, pathPrefix string }

func routeKeyOf(route *configpb.Route) routeKey {
	return routeKey{CanonicalHost(route.Hostname), route.PathPrefix}
}

// Collision is two routes that match the same requests, of which only the first gets any. Earlier versions took hosts that
// differ in the case of letters as two.
type Collision struct{ First, Second string } // names of the routes

// Collisions lists the routes that match the same requests.
func (d *Document) Collisions() []Collision {
	var found []Collision
	names := make(map[routeKey]string, len(d.Parsed.RouteTable)) // of the routes seen so far
	for _, route := range d.Parsed.RouteTable {
		key := routeKeyOf(route)
		if other, taken := names[key]; taken {
			found = append(found, Collision{other, route.Name})
			continue
		}
		names[key] = route.Name
	}
	return found
}

// checkRoutes checks the routes. Two that match the same requests are let be if both were there before, as they are: who changes
// something else need not mend them first.
func (d *Document) checkRoutes(before *Document, pools map[string]bool) error {
	for _, collision := range d.Collisions() {
		if !d.sharesRoute(before, collision.First) || !d.sharesRoute(before, collision.Second) {
			return invalid("routes %q and %q have the same place", collision.First, collision.Second)
		}
	}
	for _, route := range d.Parsed.RouteTable {
		if route.TimeoutMs <= 0 {
			return invalid("route %q: timeout_ms is 0", route.Name)
		}
		if err := checkBackends(route, pools); err != nil {
			return err
		}
	}
	return nil
}

// sharesRoute reports whether a route is the very item of a document before this one.
func (d *Document) sharesRoute(before *Document, name string) bool {
	if before == nil {
		return false
	}
	route, known := before.lists[keyRoutes].items[name]
	return known && route.parsed == d.lists[keyRoutes].items[name].parsed
}

// checkBackends checks the one service of a route or, if it has them, its weighted ones.
func checkBackends(route *configpb.Route, pools map[string]bool) error {
	if len(route.WeightedBackends) == 0 {
		if !pools[route.BackendPool] {
			return invalid("route %q: unknown service %q", route.Name, route.BackendPool)
		}
		return nil
	}
	sum := 0.0
	for _, backend := range route.WeightedBackends {
		if !pools[backend.BackendPool] {
			return invalid("route %q: unknown service %q", route.Name, backend.BackendPool)
		}
		if backend.Weight < 0 || math.IsNaN(backend.Weight) || math.IsInf(backend.Weight, 0) {
			return invalid("route %q: weight below 0", route.Name)
		}
		sum += backend.Weight
	}
	if sum <= 0 {
		return invalid("route %q: weights sum to 0", route.Name)
	}
	return nil
}
