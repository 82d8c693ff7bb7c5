package router

import (
	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/slowness"

	"shaletrestle/coord/wait"

	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// channels is this process's share of the connections that each replica of a service takes.
func (g *Router) channels(s *routing.Pool, id string) int {
	if s == nil || s.MaxConnections <= 0 {
		return channelsGuess
	}
	v, n := g.book.View(), g.fleet()
	if s.MaxConnections >= n || len(v.Nodes) == 0 {
		return s.MaxConnections / n
	}
	// fewer connections than nodes: some nodes by rendezvous have one each, the others none
	if rankOf(v.Nodes, id, g.env.Load().Port(portGate)) < s.MaxConnections {
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

func (g *Router) pool(r *state.Replica, t *routing.Table) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[r.ID]
	if p == nil {
		k := g.keeps[r.Pool]
		if k == nil {
			k = &upstream.KeepAlive{}
			g.keeps[r.Pool] = k
		}
		p = upstream.NewPool(r.Address, g.dialer, g.channels(t.Pools[r.Pool], r.ID), k, &g.made)
		g.pools[r.ID] = p
	}
	return p
}

// share gives every pool its share anew, after the fleet's size or the setup changed.
func (g *Router) share(v *state.View, t *routing.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.pools {
		if r := v.Replicas[id]; r != nil {
			p.SetLimit(g.channels(t.Pools[r.Pool], id))
		}
	}
}

// keep looks at this process's own machine again and again, and through its idle connections now and then: one waking-up does for both.
func (g *Router) keep() {
	n := 0
	wait.Every(g.ctx, slowness.Interval, func() bool {
		g.level.Measure()
		if n++; n%sweepLooks == 0 {
			g.sweep()
		}
		return true
	})
}

func (g *Router) sweep() {
	g.mu.Lock()
	var ps []*upstream.Pool
	for _, p := range g.pools {
		ps = append(ps, p)
	}
	g.mu.Unlock()
	for _, p := range ps {
		p.Sweep()
	}
}
