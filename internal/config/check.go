package config

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protojson"

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
		return invalid("%s %d is not above %d", keyRevision, d.Revision, before.Revision)
	}
	parsed := &configpb.Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(d.JSON(), parsed); err != nil {
		return invalid("can't be read: %v", err)
	}
	d.Parsed = parsed
	pools := map[string]bool{}
	for _, pool := range parsed.BackendPools {
		pools[pool.Name] = true
	}
	return checkRoutes(parsed.RouteTable, pools)
}

// routeKey is the hostname and path prefix that a route matches; no two routes have the same.
type routeKey string

func routeKeyOf(route *configpb.Route) routeKey {
	return routeKey(route.Hostname + "\x00" + route.PathPrefix)
}

func checkRoutes(routes []*configpb.Route, pools map[string]bool) error {
	names := map[routeKey]string{} // of the routes seen so far
	for _, route := range routes {
		if route.TimeoutMs <= 0 {
			return invalid("route %q: timeout_ms is 0", route.Name)
		}
		key := routeKeyOf(route)
		if other, taken := names[key]; taken {
			return invalid("routes %q and %q have the same place", other, route.Name)
		}
		names[key] = route.Name
		if err := checkBackends(route, pools); err != nil {
			return err
		}
	}
	return nil
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
