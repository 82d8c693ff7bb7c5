package router

import (
	"shaletrestle/coord/slowness"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

const (
	// defaultConnections is how many connections a node opens to a replica whose service names no limit.
	defaultConnections = 8
	// sweepEvery is the number of measurements of this machine between two sweeps of idle connections: about a second.
	sweepEvery = 2
)

// connectionLimit is this process's share of the connections that each replica of a service takes.
func (r *Router) connectionLimit(service *routing.Pool, id string) int {
	if service == nil || service.MaxConnections <= 0 {
		return defaultConnections
	}
	view, fleetSize := r.store.View(), r.fleetSize()
	if service.MaxConnections >= fleetSize || len(view.Nodes) == 0 {
		return service.MaxConnections / fleetSize
	}
	// fewer connections than nodes: some nodes by rendezvous have one each, the others none
	if rankOf(view.Nodes, id, r.settings.Load().Port(settings.RouterPortOffset)) < service.MaxConnections {
		return 1
	}
	return 0
}

// connections returns the pool of connections to a replica, a new one if there is none.
func (r *Router) connections(replica *state.Replica, table *routing.Table) *upstream.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.pools[replica.ID]
	if pool == nil {
		keepAlive := r.keepAlives[replica.Pool]
		if keepAlive == nil {
			keepAlive = &upstream.KeepAlive{}
			r.keepAlives[replica.Pool] = keepAlive
		}
		limit := r.connectionLimit(table.Pools[replica.Pool], replica.ID)
		pool = upstream.NewPool(replica.Address, r.dialer, limit, keepAlive, &r.dialCounts)
		pool.BoundMemory(r.responses, replica.ID)
		r.pools[replica.ID] = pool
	}
	return pool
}

// resizePools recomputes the limit of every pool after the fleet's size or the configuration changed.
func (r *Router) resizePools(view *state.View, table *routing.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		if replica := view.Replicas[id]; replica != nil {
			pool.SetLimit(r.connectionLimit(table.Pools[replica.Pool], id))
		}
	}
}

// maintain measures this machine periodically and closes expired idle connections at every sweepEvery-th measurement. One
// timer serves both, to wake an idle process less often.
func (r *Router) maintain() {
	measurements := 0
	wait.Every(r.ctx, slowness.Interval, func() bool {
		r.machine.Measure()
		if measurements++; measurements%sweepEvery == 0 {
			r.sweepIdle()
			r.checkQuiet()
		}
		return true
	})
}

// sweepIdle closes connections whose idle time is over.
func (r *Router) sweepIdle() {
	r.mu.Lock()
	pools := make([]*upstream.Pool, 0, len(r.pools))
	for _, pool := range r.pools {
		pools = append(pools, pool)
	}
	r.mu.Unlock()
	for _, pool := range pools {
		pool.Sweep()
	}
}
