package controller

import (
	"time"

	"shaletrestle/coord/lease"
	"shaletrestle/internal/state"
)

// becomePrimary makes this process the source of the updates of an epoch. The member calls it before it does anything
// else as primary.
func (c *Controller) becomePrimary(epoch uint64) {
	c.follower.Disconnect()
	source := c.feed.Begin(epoch, c.firstSnapshot)
	if c.source.Load() == nil {
		c.primarySince.Store(time.Now()) // first: whoever sees the source goes by it
	}
	c.source.Store(source)
	if source == nil {
		c.log.Warn("updates not published: a newer epoch is known", "epoch", epoch)
		return
	}
	// The first reading does without the lease, which is not wanted before a lease's duration has passed
	// (wantsListLease): followers of a new primary would wait so long for a list. It ends with the context.
	go c.readList(func() bool { return true })
}

// firstSnapshot is the state that a source begins with: configuration and evacuations from the replicated state, the
// rest as this process knows it as a relay.
func (c *Controller) firstSnapshot() []byte {
	view := *c.replicated.View()
	relayed := c.updates.View()
	view.History = nil // followers decide on no changes
	view.Replicas = relayed.Replicas
	view.ReplicasKnown = relayed.ReplicasKnown
	view.FleetSize = relayed.FleetSize
	view.Nodes = relayed.Nodes
	view.Controllers = relayed.Controllers
	return view.Encode()
}

// stepDown ends the source when this process is no longer primary. What it knew of the fleet's reports is dropped: the
// next primary collects its own.
func (c *Controller) stepDown() {
	c.source.Store(nil)
	c.feed.End()
	c.aggregator.Reset()
}

// publishCommitted publishes a committed change. Where this process is not the source it does nothing, and nothing is
// lost: the source publishes it, and a later one begins with a snapshot that contains it.
func (c *Controller) publishCommitted(_, _ *state.View, event state.Event) {
	switch event := event.(type) {
	case nil: // a snapshot was restored; followers get one of their own
	case state.ConfigEvent:
		c.publish(event.WithoutDigest())
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

// publishIf pushes the event that makeEvent gives, if it gives one and the condition still holds at the last moment.
func (c *Controller) publishIf(holds func() bool, makeEvent func() state.Event) {
	source := c.source.Load()
	if source == nil || !holds() {
		return
	}
	if event := makeEvent(); event != nil {
		source.PushIf(holds, state.EncodeEvent(event))
	}
}

// wantsListLease reports whether this process should hold the list lease. One that has just become primary waits for a
// lease's duration: its grantors may be others than those that granted the lease of the primary before it.
func (c *Controller) wantsListLease() bool {
	sincePrimary := time.Since(c.primarySince.Load()) // by the monotonic clock, which the stored time keeps
	return c.IsActivePrimary() && !c.shuttingDown.Load() && sincePrimary >= lease.Duration
}

// IsActivePrimary reports whether this process is primary and the source of the updates.
func (c *Controller) IsActivePrimary() bool { return c.source.Load() != nil }
