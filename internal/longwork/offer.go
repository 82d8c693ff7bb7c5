package longwork

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/upstream"
)

// UpdateKind says what an Update of an offer is.
type UpdateKind int

// The kinds of updates. All but Event end the offer.
const (
	// Event is one event of the response, with its head.
	Event UpdateKind = iota
	// Unreadable: the peer's response can't be used, and the request has run.
	Unreadable
	// Reclaimed: the request may be run here.
	Reclaimed
	// Completed: the peer has sent the response to its end.
	Completed
	// Rejected is the promise that no replica has run the request, and none will.
	Rejected
	// DeadlineExceeded: the time ran out, and a replica may have run the request.
	DeadlineExceeded
	// Indeterminate: the peer was lost, and a replica may have run the request.
	Indeterminate
)

// Update is one step of an offered request.
type Update struct {
	Kind UpdateKind
	// Part is the event, or with Completed the response: its body is nil and IsStream true if its events were updates.
	// Completed without a response has a nil Part.
	Part     *upstream.Part
	IsStream bool
	// Attempts is how many replicas the peer sent the request to; with Reclaimed, how many it may still be sent to.
	Attempts int
	// MayHaveRun says that a replica may have run the request.
	MayHaveRun bool
}

// Offer is a request that a peer may run.
type Offer struct {
	work  *Work
	peer  string
	job   uint64
	inbox chan handoff.Effect
	head  *responseHead // nil until it came
	body  []byte        // of a response that is no stream
}

// Offer offers the request to a peer, if this router is overloaded or always to do so, and a peer has capacity; else it
// returns nil. pack gives the request as the peer is to send it; nil if that is not possible. The caller must Close the
// offer.
func (w *Work) Offer(pack func() []byte) *Offer {
	if !w.mayBeOffered() {
		return nil
	}
	peer := w.coordinator.reservePeer(w.request.Route)
	if peer == "" {
		return nil
	}
	body := pack()
	if body == nil {
		return nil
	}
	return w.offerTo(peer, body)
}

func (w *Work) mayBeOffered() bool {
	if w.request.ForPeer || time.Until(w.request.RejectAfter) < answerTimeout {
		return false
	}
	c := w.coordinator
	return c.router.Settings().LongWork.Always || c.overloaded()
}

func (w *Work) offerTo(peer string, body []byte) *Offer {
	c, route := w.coordinator, w.request.Route
	offer := &Offer{work: w, peer: peer, inbox: make(chan handoff.Effect, inboxSize)}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.now() + time.Until(w.request.Deadline) - w.request.ReturnTime
	offer.job = c.owner.Take(deadline, route.IsRetriable(), route.MaxAttempts)
	c.inboxes[offer.job] = offer.inbox
	c.counters.offered++
	c.apply(c.owner.Offer(c.now(), offer.job, peer, body))
	c.wake()
	return offer
}

// Close ends what is left of the offer; the peer cancels its run.
func (o *Offer) Close() {
	c := o.work.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.owner.Abandon(o.job))
	delete(c.inboxes, o.job)
}

// Next waits for the next update. The error is the context's.
func (o *Offer) Next(ctx context.Context) (Update, error) {
	for {
		select {
		case effect := <-o.inbox:
			if update, ok := o.handle(effect); ok {
				return update, nil
			}
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

// handle takes an effect; false if it is no update.
func (o *Offer) handle(effect handoff.Effect) (Update, bool) {
	switch effect.Action {
	case handoff.Deliver:
		return o.receive(effect.Message.Body)
	case handoff.Requeue:
		return o.reclaim()
	case handoff.End:
		return o.finish(effect), true
	}
	return Update{}, false
}

// receive takes the head of the response, then its events or the pieces of its body.
func (o *Offer) receive(piece []byte) (Update, bool) {
	switch {
	case o.head == nil:
		o.head = &responseHead{}
		if json.Unmarshal(piece, o.head) != nil {
			return Update{Kind: Unreadable, MayHaveRun: true}, true
		}
	case o.head.Events:
		event := &upstream.Part{Kind: upstream.PartEvent, Header: o.head.Header, Bytes: piece, ID: eventID(piece)}
		return Update{Kind: Event, Part: event, IsStream: true}, true
	default:
		o.body = append(o.body, piece...)
	}
	return Update{}, false
}

// reclaim takes back a job that the peer does not run any more. If it may not be run here either it is no update: the job's
// end follows, with what is known of it.
func (o *Offer) reclaim() (Update, bool) {
	c := o.work.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	mayHaveRun, attemptsLeft, ok := c.owner.Reclaim(c.now(), o.job)
	if !ok {
		c.apply(c.owner.GiveUp(o.job))
		return Update{}, false
	}
	if mayHaveRun {
		c.counters.lost++
		c.log.Warn("peer lost, its job is placed anew", "node", o.peer, "request", o.work.request.ID)
	}
	return Update{Kind: Reclaimed, Attempts: attemptsLeft, MayHaveRun: mayHaveRun}, true
}

// finish takes the outcome of a job that does not come back.
func (o *Offer) finish(effect handoff.Effect) Update {
	update := Update{Attempts: effect.Message.Attempts, MayHaveRun: effect.Outcome != handoff.Rejected}
	switch effect.Outcome {
	case handoff.Complete:
		o.countElsewhere()
		update.Kind = Completed
		if o.head != nil {
			update.IsStream = o.head.Events
			update.Part = &upstream.Part{Status: o.head.Status, Header: o.head.Header, Bytes: o.body}
		}
	case handoff.Rejected:
		update.Kind = Rejected
	case handoff.DeadlineExceeded:
		update.Kind = DeadlineExceeded
	default:
		o.countIndeterminate()
		update.Kind = Indeterminate
		o.work.coordinator.log.Warn("peer lost with a job that may have begun", "node", o.peer, "request", o.work.request.ID)
	}
	return update
}

// countElsewhere counts a job that a peer ran. The peer's place is free again, which is known here sooner than by its next
// answer to a ping.
func (o *Offer) countElsewhere() {
	c := o.work.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.elsewhere++
	c.adjustCapacity(o.peer, 1)
}

func (o *Offer) countIndeterminate() {
	c := o.work.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.indeterminate++
}

// eventID reads the id of an event; -1 if it has none.
func eventID(event []byte) int64 {
	for _, line := range strings.Split(string(event), "\n") {
		value, ok := strings.CutPrefix(line, "id:")
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil {
			return id
		}
	}
	return -1
}
