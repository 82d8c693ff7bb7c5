package controller

import (
	"slices"
	"sort"
	"time"

	"shaletrestle/coord/failuredetector"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/state"
)

// count tells the fleet its size and where the control members are.
func (c *Controller) count() {
	if !c.IsActivePrimary() {
		return
	}
	now := time.Now()
	c.mu.Lock()
	for _, s := range c.feed.EndFollowers() {
		c.fleet[s.Address] = now
	}
	var nodes []string
	for a, at := range c.fleet {
		if now.Sub(at) > fleetForget {
			delete(c.fleet, a)
			continue
		}
		nodes = append(nodes, a)
	}
	if len(nodes) >= c.most || now.Sub(c.mostAt) > fleetForget {
		c.most, c.mostAt = len(nodes), now
	}
	c.mu.Unlock()
	sort.Strings(nodes)
	v := c.news.View()
	if !slices.Equal(nodes, v.Nodes) && len(nodes) > 0 {
		c.publish(state.NewUpdateFleet(v.Nodes, nodes))
	}
	var hs []state.Controller
	for _, s := range c.replica.Members() {
		hs = append(hs, state.Controller{Address: s.Address, Zone: s.Zone})
	}
	if !slices.Equal(hs, v.Controllers) {
		c.publish(state.UpdateControllers{Controllers: hs})
	}
}

// suspect hears from watchers that a router does not answer. The primary takes it out of the fleet size if it isn't reached any more, at most a part of the fleet at a time: one that still runs keeps using its old share.
func (c *Controller) suspect(n *rpc.Message) {
	if !c.IsActivePrimary() {
		c.follower.Send(n)
		return
	}
	if n.OK {
		return
	}
	for _, s := range c.feed.EndFollowers() {
		if s.Address == n.Text {
			return
		}
	}
	c.mu.Lock()
	_, known := c.fleet[n.Text]
	if known && len(c.fleet)-1 >= c.most-c.most/failuredetector.SuspectDivisor {
		delete(c.fleet, n.Text)
		c.log.Info("suspected node leaves the fleet size", "part", "failuredetector", "node", n.Text)
	}
	c.mu.Unlock()
}
