package router

import (
	"context"

	"shaletrestle/internal/settings"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/rpc"
)

// inboxReserve is the room in a request's inbox that events leave free for the
// effects that end a job.
const inboxReserve = 2

// receive takes a message of another router.
func (l *longWork) receive(channel *rpc.Channel, note *rpc.Message) {
	message := decodeMessage(note)
	if message.Kind == 0 || message.Peer == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if message.Kind <= handoff.Drop {
		l.fromOwner(channel, message)
		return
	}
	if message.Kind == handoff.Returned {
		l.counters.returned++
	}
	l.apply(l.owner.Step(l.now(), message))
}

// fromOwner takes a message of the router that owns a job; the caller holds the
// lock.
func (l *longWork) fromOwner(channel *rpc.Channel, message handoff.Message) {
	peer := message.Peer
	if l.channels[peer] != channel {
		l.channels[peer] = channel
		channel.OnClose(func() { go l.closed(peer, channel) })
	}
	l.taker.SetCapacity(l.capacity())
	l.apply(l.taker.Step(l.now(), message))
	l.wake()
}

func (l *longWork) closed(peer string, channel *rpc.Channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.channels[peer] == channel {
		delete(l.channels, peer)
	}
}

// decodeMessage reads the wire form of a message.
func decodeMessage(note *rpc.Message) handoff.Message {
	return handoff.Message{
		Kind:        handoff.KindOf(note.Text),
		Peer:        note.From.Address,
		Owner:       note.Epoch,
		Job:         note.Number,
		OfferNumber: note.Base,
		Ticket:      handoff.Ticket{Incarnation: note.Ballot, Number: note.To},
		Number:      note.Duration,
		Attempts:    int(min(note.HeldBallot, settings.AcceptedJobsLimit)),
		Body:        note.Body,
	}
}

// encodeMessage is the wire form of a message.
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

// apply carries out effects in their order; the caller holds the lock, and nothing
// here waits.
func (l *longWork) apply(effects []handoff.Effect) {
	for _, effect := range effects {
		switch effect.Action {
		case handoff.Send:
			l.send(effect.Message)
		case handoff.Begin:
			l.counters.taken++
			ctx, cancel := context.WithCancel(l.ctx)
			l.cancels[effect.Ticket.Number] = cancel
			go l.runTaken(ctx, effect, l.start.Add(effect.Since))
		case handoff.Stop:
			if cancel := l.cancels[effect.Ticket.Number]; cancel != nil {
				cancel()
			}
		default:
			l.deliver(effect)
		}
	}
}

// send sends a message without waiting. A taker's answers go back, in order, on the
// channel that the owner used last. For an owner's messages a dial may be needed;
// one that is lost is repeated by the state machine.
func (l *longWork) send(message handoff.Message) {
	note := encodeMessage(l.self, message)
	if message.Kind > handoff.Drop {
		if channel := l.channels[message.Peer]; channel != nil {
			channel.Send(note)
		}
		return
	}
	go func() {
		channel, err := l.lines.Get(message.Peer)
		if err == nil {
			channel.Send(note)
		}
	}()
}

// deliver hands an effect to the request whose job it is. A request that reads too
// slowly loses its job.
func (l *longWork) deliver(effect handoff.Effect) {
	inbox := l.inboxes[effect.Job]
	if inbox == nil {
		return
	}
	lagging := len(inbox) >= cap(inbox)-inboxReserve
	if effect.Action == handoff.Deliver && lagging {
		effects := l.owner.Abandon(effect.Job)
		inbox <- handoff.Effect{Action: handoff.End, Job: effect.Job, Outcome: handoff.Indeterminate}
		delete(l.inboxes, effect.Job)
		l.apply(effects)
		return
	}
	inbox <- effect
}
