package controller

import (
	"context"
	"time"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/state"
)

// answerMargin is what is left of an order's time for the answer's way when followers are no longer waited for.
const answerMargin = 100 * time.Millisecond

// Primary names who answers orders.
func (c *Controller) Primary() (address string, here bool) {
	seat, known := c.replica.Primary()
	if !known {
		return "", false
	}
	return c.settings.ControlAddress(seat.Address), seat.ID == c.replica.Self().ID
}

// Take makes one order. It returns once the order is in force for good and the connected followers have it, as
// far as the order's time allows to wait for them.
func (c *Controller) Commit(ctx context.Context, order *adminapi.ChangeRequest) error {
	event := order.Event
	decide := func() ([]byte, error) {
		if order.Expired(time.Now()) {
			return nil, ErrAbandoned
		}
		return decideOn(c.state.View(), event)
	}
	if err := c.replica.Propose(order.Deadline, decide); err != nil {
		return withKind(err)
	}
	if superseded(c.state.View(), event) {
		return withKind(ErrSuperseded)
	}
	c.awaitFollowers(ctx, order.Deadline)
	return nil
}

// decideOn checks an event against the state as it is and gives the entry to commit; no entry and no error mean that
// it is in force already.
func decideOn(view *state.View, event state.Event) ([]byte, error) {
	switch event := event.(type) {
	case state.EvacuateZone:
		return decideEvacuation(event, view.Evacuated[event.Zone], true)
	case state.ReadmitZone:
		return decideEvacuation(event, view.Evacuated[event.Zone], false)
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

func decideEvacuation(event state.Event, evacuated, wanted bool) ([]byte, error) {
	if evacuated == wanted {
		return nil, nil
	}
	return state.EncodeEvent(event), nil
}

// superseded guards the acknowledgement: the state must not hold another change in this one's place.
func superseded(view *state.View, event state.Event) bool {
	change, ok := event.(state.ConfigEvent)
	if !ok {
		return false
	}
	return change.BaseRevision() < view.Config.Revision && view.Outcome(change) == state.OutcomeNotCommitted
}

// awaitFollowers waits a little until the connected followers have what was pushed up to now.
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
	c.feed.WaitAcked(ctx, number, max(0, min(ackWait, left)))
}

// Read gives the view that the witnesses confirmed to be the newest after the call.
func (c *Controller) Read(_ context.Context, deadline time.Time) (*state.View, error) {
	var view *state.View
	look := func() { view = c.state.View() }
	if err := c.replica.Read(deadline, look); err != nil {
		return nil, withKind(err)
	}
	return view, nil
}
