package router

import (
	"time"

	"shaletrestle/internal/discovery"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
)

// changed brings everything that is derived up to date with a new view.
func (g *Router) changed(old, v *state.View, e state.Event) {
	if suspects, ok := e.(state.UpdateSuspects); ok {
		g.yard.Health().SetSuspects(suspects.Replicas, time.Now())
		return
	}
	if old.Config != v.Config {
		g.useConfiguration(v)
	}
	if state.ChangesPlacement(e) {
		g.useReplicas(v)
	}
	if _, fleet := e.(state.UpdateFleet); fleet || e == nil {
		g.cold.Store(newColdShares(v.Nodes, g.env.Load().Port(portGate)))
	}
	if old.FleetSize != v.FleetSize || old.Config != v.Config || e == nil {
		g.share(v, g.table.Load())
	}
	if v.Config.Revision > 0 && v.ReplicasKnown {
		g.becomeReady(v)
	}
	if _, controllers := e.(state.UpdateControllers); controllers || e == nil {
		g.nearer(v)
	}
}

// useConfiguration compiles a new configuration and puts its limits in force.
func (g *Router) useConfiguration(v *state.View) {
	table := routing.Compile(v.Config)
	g.table.Store(table)
	if g.front != nil {
		g.front.SetLimits(table.Limits)
	}
}

// useReplicas takes a new list of replicas or evacuations; connections to replicas that are gone end with their answers.
func (g *Router) useReplicas(v *state.View) {
	back := durations.FromMilliseconds(g.env.Load().Cloud.MaxLagMs) + 2*discovery.ListInterval
	g.yard.SetReplicas(v.Replicas, v.Evacuated, back)
	g.weights.Store(newWeights(v.Replicas))
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, pool := range g.pools {
		if v.Replicas[id] == nil {
			delete(g.pools, id)
			go pool.Close()
		}
	}
}

// becomeReady lets go the requests that waited for a first view.
func (g *Router) becomeReady(v *state.View) {
	if !g.ready.CompareAndSwap(false, true) {
		return
	}
	close(g.isReady)
	g.log.Info("ready", "part", "router", "revision", v.Config.Revision, "replicas", len(v.Replicas))
}

// fleet is the number of routers that share the budgets; a guess until control has told it.
func (g *Router) fleet() int {
	if n := g.book.View().FleetSize; n > 0 {
		return n
	}
	return fleetGuess
}
