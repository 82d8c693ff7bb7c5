package router

import (
	"time"

	"shaletrestle/internal/discovery"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
)

// handleChange brings everything that is derived up to date with a new view.
func (r *Router) handleChange(old, v *state.View, e state.Event) {
	if suspects, ok := e.(state.UpdateSuspects); ok {
		r.placer.Health().SetSuspects(suspects.Replicas, time.Now())
		return
	}
	if old.Config != v.Config {
		r.useConfiguration(v)
	}
	if state.ChangesPlacement(e) {
		r.useReplicas(v)
	}
	if _, fleet := e.(state.UpdateFleet); fleet || e == nil {
		r.coldShares.Store(newColdStartShares(v.Nodes, r.settings.Load().Port(routerPort)))
	}
	if old.FleetSize != v.FleetSize || old.Config != v.Config || e == nil {
		r.resizePools(v, r.table.Load())
	}
	if v.Config.Revision > 0 && v.ReplicasKnown {
		r.becomeReady(v)
	}
	if _, controllers := e.(state.UpdateControllers); controllers || e == nil {
		r.preferNearController(v)
	}
}

// useConfiguration compiles a new configuration and puts its limits in force.
func (r *Router) useConfiguration(v *state.View) {
	table := routing.Compile(v.Config)
	r.table.Store(table)
	if r.server != nil {
		r.server.SetLimits(table.Limits)
	}
}

// useReplicas takes a new list of replicas or evacuations; connections to replicas that are gone end with their answers.
func (r *Router) useReplicas(v *state.View) {
	back := durations.FromMilliseconds(r.settings.Load().Cloud.MaxLagMs) + 2*discovery.ListInterval
	r.placer.SetReplicas(v.Replicas, v.Evacuated, back)
	r.revisions.Store(newModelRevisions(v.Replicas))
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		if v.Replicas[id] == nil {
			delete(r.pools, id)
			go pool.Close()
		}
	}
}

// becomeReady lets go the requests that waited for a first view.
func (r *Router) becomeReady(v *state.View) {
	if !r.ready.CompareAndSwap(false, true) {
		return
	}
	close(r.becameReady)
	r.log.Info("ready", "part", "router", "revision", v.Config.Revision, "replicas", len(v.Replicas))
}

// fleetSize is the number of routers that share the budgets; a guess until control has told it.
func (r *Router) fleetSize() int {
	if n := r.store.View().FleetSize; n > 0 {
		return n
	}
	return defaultFleetSize
}
