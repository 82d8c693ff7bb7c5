package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/state"
)

// controllerChoice is what a router knows of the controllers that it may follow; Router.mu guards it.
type controllerChoice struct {
	picks    int                  // made so far
	failedAt map[string]time.Time // by address
	left     string               // one that was left for a nearer one, not for failing
	offered  []string             // those of this zone that the first one named; none once one of them has failed
}

// nextController names the controller to follow next, after one that failed or was left: those of the own zone first,
// others if these failed lately; empty if none is known.
func (r *Router) nextController(failed string) string {
	env := r.settings.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	choice := &r.controllers
	if failed != "" && failed != choice.left {
		choice.failedAt[failed] = now
	}
	choice.left = ""
	if slices.Contains(choice.offered, failed) {
		choice.offered = nil
	}
	near, all := slices.Clone(choice.offered), slices.Clone(choice.offered)
	var far []string
	listed := map[string]bool{}
	for _, controller := range r.store.View().Controllers {
		address := controller.Address
		if slices.Contains(choice.offered, address) {
			continue
		}
		listed[address] = true
		all = append(all, address)
		switch {
		case now.Sub(choice.failedAt[address]) < env.ContactTimeout():
		case controller.Zone == env.Zone:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	for _, address := range env.SeedMembers() {
		if listed[address] {
			continue
		}
		all = append(all, address)
		if now.Sub(choice.failedAt[address]) >= env.ContactTimeout() {
			far = append(far, address)
		}
	}
	choice.picks++
	// Nodes start at different candidates, by their names; the remainder keeps the hash small enough for an int.
	for _, candidates := range [][]string{near, far, all} {
		if len(candidates) > 0 {
			return candidates[(choice.picks+int(xxhash.Sum64String(env.NodeName)%1024))%len(candidates)]
		}
	}
	return ""
}

// followNearer takes the controllers of this zone that another one named when this router had no state yet: the whole state
// need not come from another zone.
func (r *Router) followNearer(controllers []rpc.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controllers.left = r.follower.ParentAddress()
	for _, controller := range controllers {
		r.controllers.offered = append(r.controllers.offered, controller.Address)
	}
}

// controllerZone gives the zone of a controller's address; empty if it is not known, as of a seed before the first update.
func (r *Router) controllerZone(address string) string {
	for _, controller := range r.store.View().Controllers {
		if controller.Address == address {
			return controller.Zone
		}
	}
	return ""
}

// preferNearController changes to a controller of this node's zone once one is known, unless it failed lately: within twice
// the time for which nextController avoids it.
func (r *Router) preferNearController(view *state.View) {
	source := r.follower.ParentAddress()
	if source == "" {
		return
	}
	env := r.settings.Load()
	for _, controller := range view.Controllers {
		if controller.Address == source && controller.Zone == env.Zone {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, controller := range view.Controllers {
		if controller.Zone == env.Zone && time.Since(r.controllers.failedAt[controller.Address]) >= 2*env.ContactTimeout() {
			r.controllers.left = source
			go r.follower.Disconnect()
			return
		}
	}
}
