package router

import (
	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/slowness"

	"shaletrestle/coord/wait"

	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// connectionLimit is this process's share of the connections that each replica of a service takes.
func (r *Router) connectionLimit(s *routing.Pool, id string) int {
	if s == nil || s.MaxConnections <= 0 {
		return defaultConnections
	}
	v, n := r.store.View(), r.fleetSize()
	if s.MaxConnections >= n || len(v.Nodes) == 0 {
		return s.MaxConnections / n
	}
	// fewer connections than nodes: some nodes by rendezvous have one each, the others none
	if rankOf(v.Nodes, id, r.settings.Load().Port(routerPort)) < s.MaxConnections {
		return 1
	}
	return 0
}

// rankOf is a node's place among all by rendezvous for a key; the number of nodes if it is not among them.
func rankOf(nodes []string, key, self string) int {
	mine, rank, in := xxhash.Sum64String(key+self), 0, false
	for _, n := range nodes {
		switch h := xxhash.Sum64String(key + n); {
		case n == self:
			in = true
		case h > mine || h == mine && n < self:
			rank++
		}
	}
	if !in {
		return len(nodes)
	}
	return rank
}

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
		pool = upstream.NewPool(replica.Address, r.dialer, r.connectionLimit(table.Pools[replica.Pool], replica.ID), keepAlive, &r.dialCounts)
		r.pools[replica.ID] = pool
	}
	return pool
}

// resizePools gives every pool its share anew, after the fleet's size or the setup changed.
func (r *Router) resizePools(view *state.View, table *routing.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		if replica := view.Replicas[id]; replica != nil {
			pool.SetLimit(r.connectionLimit(table.Pools[replica.Pool], id))
		}
	}
}

// maintain looks at this process's own machine again and again, and through its idle connections now and then: one waking-up does for both.
func (r *Router) maintain() {
	n := 0
	wait.Every(r.ctx, slowness.Interval, func() bool {
		r.machine.Measure()
		if n++; n%sweepEvery == 0 {
			r.sweepIdle()
		}
		return true
	})
}

func (r *Router) sweepIdle() {
	r.mu.Lock()
	var ps []*upstream.Pool
	for _, p := range r.pools {
		ps = append(ps, p)
	}
	r.mu.Unlock()
	for _, p := range ps {
		p.Sweep()
	}
}
