package controller

import (
	"context"
	"time"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
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
	event := eventOf(order)
	decide := func() ([]byte, error) {
		if order.Expired(time.Now()) {
			return nil, errkind.New(errkind.Unavailable, "nobody waits for the answer any more")
		}
		return decideOn(c.state.View(), event)
	}
	if err := c.replica.Propose(order.Deadline, decide); err != nil {
		return err
	}
	if anotherWon(c.state.View(), event) {
		return errkind.New(errkind.Unavailable, "another order on this version is in force")
	}
	c.awaitFollowers(ctx, order.Deadline)
	return nil
}

func eventOf(order *adminapi.ChangeRequest) *state.Event {
	switch order.Kind {
	case state.Put, state.Patch:
		return state.OrderEvent(order.Kind, order.Base, order.Body)
	}
	return &state.Event{Kind: order.Kind, Zone: order.Zone}
}

// decideOn holds an order against the state as it is; a nil entry means that it is in force already.
func decideOn(view *state.View, event *state.Event) ([]byte, error) {
	if event.Kind == state.Evacuate || event.Kind == state.Return {
		return decideEvacuation(view, event)
	}
	switch view.Outcome(event) {
	case state.OutcomeCommitted:
		return nil, nil
	case state.OutcomeUnknown:
		return nil, errkind.New(errkind.Unavailable, "whether an order on version %d was taken is no longer known", event.Base)
	}
	if event.Base != view.Config.Revision {
		return nil, errkind.New(errkind.VersionConflict, "version %d is current", view.Config.Revision)
	}
	if _, err := view.Next(event); err != nil {
		return nil, err
	}
	return event.Encode(), nil
}

func decideEvacuation(view *state.View, event *state.Event) ([]byte, error) {
	if view.Evacuated[event.Zone] == (event.Kind == state.Evacuate) {
		return nil, nil
	}
	return event.Encode(), nil
}

// anotherWon guards the acknowledgement: the state that was folded must not hold another order in this one's place.
func anotherWon(view *state.View, event *state.Event) bool {
	if event.Kind != state.Put && event.Kind != state.Patch {
		return false
	}
	return event.Base < view.Config.Revision && view.Outcome(event) == state.OutcomeNotCommitted
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
		return nil, err
	}
	return view, nil
}
