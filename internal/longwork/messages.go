package longwork

import (
	"context"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
)

const (
	// inboxSize is how many parts wait for a slow client before its job is dropped.
	inboxSize = 256
	// inboxReserve is what parts leave free of an inbox, for the effects that end a job.
	inboxReserve = 2
)

// Receive takes a message of another router. It does not wait.
func (c *Coordinator) Receive(channel *rpc.Channel, wire *rpc.Message) {
	message := decodeMessage(wire)
	if message.Kind == 0 || message.Peer == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if message.Kind <= handoff.Drop {
		c.receiveFromOwner(channel, message)
		return
	}
	if message.Kind == handoff.Returned {
		c.counters.returned++
	}
	c.apply(c.owner.Step(c.now(), message))
}

// receiveFromOwner takes a message of the router that owns a job; the caller holds the lock.
func (c *Coordinator) receiveFromOwner(channel *rpc.Channel, message handoff.Message) {
	peer := message.Peer
	if c.channels[peer] != channel {
		c.channels[peer] = channel
		channel.OnClose(func() { go c.forgetChannel(peer, channel) })
	}
	c.taker.SetCapacity(c.capacity())
	c.apply(c.taker.Step(c.now(), message))
	c.wake()
}

// forgetChannel drops a closed channel, unless the peer has used another one since.
func (c *Coordinator) forgetChannel(peer string, channel *rpc.Channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channels[peer] == channel {
		delete(c.channels, peer)
	}
}

// decodeMessage reads the wire form of a message.
func decodeMessage(wire *rpc.Message) handoff.Message {
	return handoff.Message{
		Kind:        handoff.KindOf(wire.Text),
		Peer:        wire.From.Address,
		Owner:       wire.Epoch,
		Job:         wire.Number,
		OfferNumber: wire.Base,
		Ticket:      handoff.Ticket{Incarnation: wire.Ballot, Number: wire.To},
		Number:      wire.Duration,
		Attempts:    int(min(wire.HeldBallot, settings.AcceptedJobsLimit)),
		Body:        wire.Body,
	}
}

// encodeMessage is the wire form of a message. It uses the numbers of rpc.Message for what a job needs, not for what their
// names say: Base is the number of the offer, Ballot and To are the ticket, Duration the number of the part, HeldBallot the
// attempts.
func encodeMessage(self string, message handoff.Message) *rpc.Message {
	return &rpc.Message{
		Kind:       rpc.Job,
		From:       rpc.Member{Address: self},
		Text:       message.Kind.String(),
		Epoch:      message.Owner,
		Number:     message.Job,
		Base:       message.OfferNumber,
		Ballot:     message.Ticket.Incarnation,
		To:         message.Ticket.Number,
		Duration:   message.Number,
		HeldBallot: uint64(max(0, message.Attempts)),
		Body:       message.Body,
	}
}

// apply carries out effects in their order; the caller holds the lock, and nothing here waits.
func (c *Coordinator) apply(effects []handoff.Effect) {
	for _, effect := range effects {
		switch effect.Action {
		case handoff.Send:
			c.send(effect.Message)
		case handoff.Begin:
			c.counters.taken++
			ctx, cancel := context.WithCancel(c.ctx)
			c.cancels[effect.Ticket.Number] = cancel
			go c.runForPeer(ctx, effect, c.start.Add(effect.Since))
		case handoff.Stop:
			if cancel := c.cancels[effect.Ticket.Number]; cancel != nil {
				cancel()
			}
		default:
			c.deliver(effect)
		}
	}
}

// send sends a message without waiting. A taker's answers go back, in order, on the channel that the owner used last. An
// owner's message may need a dial; if it is lost, the state machine repeats it or lets it expire.
func (c *Coordinator) send(message handoff.Message) {
	wire := encodeMessage(c.self, message)
	if message.Kind > handoff.Drop {
		if channel := c.channels[message.Peer]; channel != nil {
			channel.Send(wire)
		}
		return
	}
	go func() {
		channel, err := c.lines.Get(message.Peer)
		if err == nil {
			channel.Send(wire)
		}
	}()
}

// deliver gives an effect to the request whose job it is. A request that reads too slowly loses its job.
func (c *Coordinator) deliver(effect handoff.Effect) {
	inbox := c.inboxes[effect.Job]
	if inbox == nil {
		return
	}
	lagging := len(inbox) >= cap(inbox)-inboxReserve
	if effect.Action == handoff.Deliver && lagging {
		effects := c.owner.Abandon(effect.Job)
		inbox <- handoff.Effect{Action: handoff.End, Job: effect.Job, Outcome: handoff.Indeterminate}
		delete(c.inboxes, effect.Job)
		c.apply(effects)
		return
	}
	inbox <- effect
}
