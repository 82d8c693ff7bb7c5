package controller

import (
	"context"
	"time"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/state"
)

const (
	// ackTimeout bounds the wait for the followers before a change is answered.
	ackTimeout = 300 * time.Millisecond
	// answerMargin is what is left of a change's time for the answer's way when followers are no longer waited for.
	answerMargin = 100 * time.Millisecond
)

// Primary names the control address that decides on changes.
func (c *Controller) Primary() (address string, here bool) {
	primary, known := c.member.Primary()
	if !known {
		return "", false
	}
	return c.settings.ControlAddress(primary.Address), primary.ID == c.member.Self().ID
}

// Commit makes one change. It returns without an error once the change is committed, or was before, and the connected
// followers have it, as far as the change's time allows to wait for them. Its errors carry the kind that [kindOf]
// gives them.
func (c *Controller) Commit(ctx context.Context, request *adminapi.ChangeRequest) error {
	if change, ok := request.Event.(state.ConfigEvent); ok && change.Malformed() != nil {
		return withKind(change.Malformed()) // not worth the time of the one goroutine that also sends heartbeats
	}
	decide := func() ([]byte, error) {
		if request.Expired(time.Now()) {
			return nil, ErrAbandoned
		}
		return decideOn(c.replicated.View(), request.Event)
	}
	begun := time.Now()
	if err := c.member.Propose(request.Deadline, decide); err != nil {
		return withKind(err)
	}
	if superseded(c.replicated.View(), request.Event) {
		return withKind(ErrSuperseded)
	}
	c.checkAcknowledged(request.Event)
	c.logCommitted(request.Event, time.Since(begun))
	c.awaitFollowers(ctx, request.Deadline)
	return nil
}

// logCommitted logs a change that is committed, or was before, so that it can be followed from the operator to the routers.
func (c *Controller) logCommitted(event state.Event, took time.Duration) {
	epoch, _ := c.member.PrimaryEpoch()
	log := c.log.With("kind", string(event.Kind()), "epoch", epoch, "took_ms", took.Milliseconds())
	switch event := event.(type) {
	case state.ConfigEvent:
		log = log.With("base", event.BaseRevision(), "config_revision", c.replicated.View().Config.Revision)
	case state.EvacuateZone:
		log = log.With("zone", event.Zone)
	case state.ReadmitZone:
		log = log.With("zone", event.Zone)
	}
	log.Info("config change committed")
}

// decideOn checks an event against the state as it is and gives the entry to commit; no entry and no error mean that
// it is in force already.
func decideOn(view *state.View, event state.Event) ([]byte, error) {
	switch event := event.(type) {
	case state.EvacuateZone:
		return entryUnless(view.Evacuated[event.Zone], event), nil
	case state.ReadmitZone:
		return entryUnless(!view.Evacuated[event.Zone], event), nil
	case state.ConfigEvent:
		return decideConfig(view, event)
	}
	return nil, &state.UnknownKindError{Kind: event.Kind()}
}

func decideConfig(view *state.View, event state.ConfigEvent) ([]byte, error) {
	switch view.Outcome(event) {
	case state.OutcomeCommitted:
		return nil, nil
	case state.OutcomeUnknown:
		return nil, &OutcomeUnknownError{Base: event.BaseRevision()}
	}
	if _, err := view.Next(event); err != nil {
		return nil, err
	}
	return state.EncodeEvent(event), nil
}

// entryUnless gives the entry of an event, nil if it is in force already.
func entryUnless(inForce bool, event state.Event) []byte {
	if inForce {
		return nil
	}
	return state.EncodeEvent(event)
}

// superseded reports that another change was committed on this one's base: two primaries may each have decided on the
// same state, and of their entries only the first applies ([state.Store.Apply] ignores the other). The other must not
// be acknowledged.
func superseded(view *state.View, event state.Event) bool {
	change, ok := event.(state.ConfigEvent)
	if !ok {
		return false
	}
	return change.BaseRevision() < view.Config.Revision && view.Outcome(change) == state.OutcomeNotCommitted
}

// awaitFollowers waits for a bounded time until the connected followers have what was pushed up to now. One that is late
// does not fail the change: it is committed, and the follower gets it when it can.
func (c *Controller) awaitFollowers(ctx context.Context, deadline time.Time) {
	source := c.source.Load()
	if source == nil {
		return
	}
	number, active := source.Number()
	if !active || number == 0 {
		return
	}
	left := time.Until(deadline) - answerMargin
	c.feed.WaitAcked(ctx, number, max(0, min(ackTimeout, left)))
}

// Read gives the newest view; a majority of the witnesses confirmed in this call that it is. The deadline alone bounds
// it, as it does Member.Read. Its errors carry a kind as those of Commit do.
func (c *Controller) Read(_ context.Context, deadline time.Time) (*state.View, error) {
	answeredBefore := c.answered.newest.Load()
	var view *state.View
	look := func() { view = c.replicated.View() }
	if err := c.member.Read(deadline, look); err != nil {
		return nil, withKind(err)
	}
	c.checkRead(view, answeredBefore)
	return view, nil
}

// logCollisions reports routes of the stored configuration that match the same requests: this version would not accept them.
func (c *Controller) logCollisions() {
	for _, collision := range c.replicated.View().Config.Collisions() {
		c.log.Warn("routes have the same place", "first", collision.First, "second", collision.Second)
	}
}
