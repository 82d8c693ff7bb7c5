package router

import (
	"time"

	"shaletrestle/internal/discovery"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// defaultFleetSize is the fleet size assumed until a controller has reported one.
const defaultFleetSize = 16

// handleChange updates everything that is derived from the view after a change. event is nil after a checkpoint.
func (r *Router) handleChange(old, view *state.View, event state.Event) {
	r.newestView.Store(&timedView{view, time.Now()})
	r.invariants.Check(view.Config.Revision >= old.Config.Revision, invariantRevisionOrder, "before", old.Config.Revision, "after", view.Config.Revision)
	if suspects, ok := event.(state.UpdateSuspects); ok {
		r.placer.Health().SetSuspects(suspects.Replicas, time.Now())
		return
	}
	if old.Config != view.Config {
		r.useConfiguration(view)
	}
	if state.ChangesPlacement(event) {
		r.useReplicas(view)
	}
	if _, fleet := event.(state.UpdateFleet); fleet || event == nil {
		r.warmupShares.Store(newWarmupShares(view.Nodes, r.settings.Load().Port(settings.RouterPortOffset)))
	}
	if old.FleetSize != view.FleetSize || old.Config != view.Config || event == nil {
		r.resizePools(view, r.table.Load())
	}
	if view.Config.Revision > 0 && view.ReplicasKnown {
		r.becomeReady(view)
	}
	if _, controllers := event.(state.UpdateControllers); controllers || event == nil {
		r.preferNearController(view)
	}
}

// useConfiguration compiles a new configuration and puts its limits in force.
func (r *Router) useConfiguration(view *state.View) {
	table := routing.Compile(view.Config)
	r.table.Store(table)
	r.paces.retain(table.Pools)
	if table.Revision == 0 {
		return // a snapshot from before the first one
	}
	r.log.Info("configuration in force", "part", "router", "config_revision", table.Revision, "routes", table.RouteCount)
	if r.server != nil {
		r.server.SetLimits(table.Limits)
	}
}

// useReplicas takes a new list of replicas or evacuations; connections to replicas that are gone end with their responses.
func (r *Router) useReplicas(view *state.View) {
	warmup := durations.FromMilliseconds(r.settings.Load().Cloud.MaxLagMs) + 2*discovery.ListInterval
	r.placer.SetReplicas(view.Replicas, view.Evacuated, warmup)
	r.revisions.Store(newModelRevisions(view.Replicas))
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, pool := range r.pools {
		if view.Replicas[id] == nil {
			delete(r.pools, id)
			delete(r.limitLoggedAt, id)
			go pool.Close()
		}
	}
}

// becomeReady marks the router ready and releases the requests in awaitReady; it has no effect after the first time.
func (r *Router) becomeReady(view *state.View) {
	if !r.ready.CompareAndSwap(false, true) {
		return
	}
	close(r.becameReady)
	r.log.Info("router ready", "part", "router", "revision", view.Config.Revision, "replicas", len(view.Replicas))
}

// fleetSize is the number of routers that share the budgets.
func (r *Router) fleetSize() int {
	if nodes := r.store.View().FleetSize; nodes > 0 {
		return nodes
	}
	return defaultFleetSize
}
