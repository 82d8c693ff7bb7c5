package controller

import (
	"slices"
	"sync"
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/retrybudget"
	"shaletrestle/internal/state"
)

// fleetPublishInterval is the time between two looks at who is alive; the list is published if it changed. A lost node is
// reported within 3.5 s (package failuredetector), so that all know of it within 4 s.
const fleetPublishInterval = 500 * time.Millisecond

// fleetTimeout is the time after which a router that is not reached any more leaves the fleet size. A restart within it
// changes nobody's share; a router that its watchers suspect leaves sooner (removeSuspect).
const fleetTimeout = 30 * time.Second

// fleet is the set of routers that share the budgets, as the primary reaches them. It is in memory only: a new primary
// begins with none and publishes no list before it reaches the first.
type fleet struct {
	mu          sync.Mutex
	lastContact map[string]time.Time // by address; guarded by mu, as are the following
	peak        int                  // the largest size within the last fleetTimeout
	peakAt      time.Time
}

func newFleet() *fleet { return &fleet{lastContact: map[string]time.Time{}} }

// update records who is reached now and gives the sorted addresses of the fleet.
func (f *fleet) update(reached []rpc.Member, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range reached {
		f.lastContact[member.Address] = now
	}
	var nodes []string
	for address, at := range f.lastContact {
		if now.Sub(at) > fleetTimeout {
			delete(f.lastContact, address)
			continue
		}
		nodes = append(nodes, address)
	}
	if len(nodes) >= f.peak || now.Sub(f.peakAt) > fleetTimeout {
		f.peak, f.peakAt = len(nodes), now
	}
	slices.Sort(nodes)
	return nodes
}

// removeSuspect takes a router out and reports whether it did. It does not if the fleet would be smaller than its peak by
// more than one in [retrybudget.SuspectDivisor]: a suspect that still runs goes on with its old share of the budgets, and
// the shares leave room for that many.
func (f *fleet) removeSuspect(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.lastContact[address]
	if !known || len(f.lastContact)-1 < f.peak-f.peak/retrybudget.SuspectDivisor {
		return false
	}
	delete(f.lastContact, address)
	return true
}

// publishFleet notifies the followers of the fleet's nodes and where the control members are, if that changed.
func (c *Controller) publishFleet() {
	if !c.IsActivePrimary() {
		return
	}
	nodes := c.fleet.update(c.feed.EndFollowers(), time.Now())
	view := c.updates.View()
	if !slices.Equal(nodes, view.Nodes) && len(nodes) > 0 {
		c.publish(state.NewUpdateFleet(view.Nodes, nodes))
	}
	var controllers []state.Controller
	for _, member := range c.member.Members() {
		controllers = append(controllers, state.Controller{Address: member.Address, Zone: member.Zone})
	}
	if !slices.Equal(controllers, view.Controllers) {
		c.publish(state.UpdateControllers{Controllers: controllers})
	}
}

// handleSuspect takes a watcher's report that the router named by Text does not answer, or with OK that it does again.
// The primary takes a router out of the fleet if it isn't reached any more; others pass the report on. One that answers
// again needs nothing here: update adds it when it is reached.
func (c *Controller) handleSuspect(message *rpc.Message) {
	if !c.IsActivePrimary() {
		c.follower.Send(message)
		return
	}
	if message.OK {
		return
	}
	node := message.Text
	for _, member := range c.feed.EndFollowers() {
		if member.Address == node {
			return
		}
	}
	if c.fleet.removeSuspect(node) {
		c.log.Info("suspected node removed from fleet", "node", node)
	}
}

// controllersOf lists the controllers of another zone, as followers know them: they serve the routers there. None are listed
// for the own zone.
func (c *Controller) controllersOf(zone string) []rpc.Member {
	if zone == c.settings.Zone {
		return nil
	}
	var members []rpc.Member
	for _, controller := range c.updates.View().Controllers {
		if controller.Zone == zone {
			members = append(members, rpc.Member{Address: controller.Address, Zone: zone})
		}
	}
	return members
}
