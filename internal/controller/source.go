package controller

import (
	"time"

	"shaletrestle/coord/lease"

	"shaletrestle/internal/state"
)

// begin makes this process the source of the updates of an epoch: orders from its own state, the rest from what
// it has heard as a relay.
func (c *Controller) begin(epoch uint64) {
	c.follower.Disconnect()
	source := c.feed.Begin(epoch, c.firstView)
	if c.source.Swap(source) == nil {
		c.officeFrom.Store(time.Now().UnixNano())
	}
	if source == nil {
		c.log.Warn("a newer source is known", "epoch", epoch)
		return
	}
	go c.poll(true) // once, without the lease: that one settles who reads again and again
}

// firstView is the state that a source begins with.
func (c *Controller) firstView() []byte {
	view := *c.state.View()
	heard := c.news.View()
	view.History = nil // followers decide on no orders
	view.Replicas = heard.Replicas
	view.ReplicasKnown = heard.ReplicasKnown
	view.FleetSize = heard.FleetSize
	view.Nodes = heard.Nodes
	view.Controllers = heard.Controllers
	return view.Encode()
}

// idle ends this process's being the source: it is no longer primary.
func (c *Controller) idle() {
	c.source.Store(nil)
	c.feed.End()
	c.jury.Reset()
}

// committed publishes what the replicated state has taken in.
func (c *Controller) committed(_, _ *state.View, event state.Event) {
	switch change := event.(type) {
	case nil:
	case state.ConfigEvent:
		c.publish(change.WithoutDigest())
	default:
		c.publish(event)
	}
}

// publish pushes an event to the followers if this process is the source.
func (c *Controller) publish(event state.Event) {
	if source := c.source.Load(); source != nil {
		source.Push(state.EncodeEvent(event))
	}
}

// publishIf pushes the event that make gives, if there is one and the condition holds at the last moment before.
func (c *Controller) publishIf(holds func() bool, make func() state.Event) {
	source := c.source.Load()
	if source == nil || !holds() {
		return
	}
	if event := make(); event != nil {
		source.PushIf(holds, state.EncodeEvent(event))
	}
}

// wantsDuty tells whether this process should hold the duty. One that has just become primary waits for a lease's
// span: its witnesses may be others than those that granted the lease of the primary before it.
func (c *Controller) wantsDuty() bool {
	inOffice := time.Duration(time.Now().UnixNano() - c.officeFrom.Load())
	return c.IsActivePrimary() && !c.leaving.Load() && inOffice >= lease.Duration
}

// Acting tells whether this process is primary and the source of the updates.
func (c *Controller) IsActivePrimary() bool { return c.source.Load() != nil }
