package handoff

import (
	"slices"
	"sort"
	"time"
)

// status is where a peer's job is.
type status uint8

const (
	accepted status = iota // capacity is reserved, the go-ahead is awaited
	running                // the run was begun, once
	ended                  // remembered, to answer for it
)

// offerID names one offer of a job.
type offerID struct {
	owner, job, number uint64
}

// entry is one accepted offer, and later what is remembered of it.
type entry struct {
	offerID     offerID
	peer        string
	ticket      uint64
	status      status
	offeredAt   time.Duration // the offer came
	expires     time.Duration // accepted: the go-ahead must come before
	lastContact time.Duration // running: the owner's last message
	parts       uint64
	offer       Message // what was offered, until it runs
	result      Message // ended: the message to its owner
}

// Taker is the state machine of the jobs that this process runs for others. It begins each accepted job at most once, and
// only within its time to start. Its methods must not be called concurrently; now must not go back.
type Taker struct {
	incarnation uint64
	lastTicket  uint64
	bounds      Bounds
	capacity    int
	entries     []*entry // by ticket
	tombstones  []uint64 // tickets that are over, in the order of their ends
}

// NewTaker returns a taker without jobs and without capacity. No two processes, and no two starts of one, may use the same
// incarnation.
func NewTaker(incarnation uint64, bounds Bounds) *Taker {
	return &Taker{incarnation: incarnation, bounds: bounds}
}

func (t *Taker) find(ticket uint64) *entry {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].ticket >= ticket })
	if at < len(t.entries) && t.entries[at].ticket == ticket {
		return t.entries[at]
	}
	return nil
}

func (t *Taker) findOffer(p offerID) *entry {
	for _, e := range t.entries {
		if e.offerID == p {
			return e
		}
	}
	return nil
}

// SetCapacity sets how many jobs may be accepted or running at once.
func (t *Taker) SetCapacity(jobs int) { t.capacity = jobs }

// Jobs counts the jobs that await their go-ahead and those that run.
func (t *Taker) Jobs() (waiting, runs int) {
	for _, e := range t.entries {
		switch e.status {
		case accepted:
			waiting++
		case running:
			runs++
		}
	}
	return waiting, runs
}

// Step takes a message from an owner.
func (t *Taker) Step(now time.Duration, m Message) []Effect {
	if m.Kind == Offer {
		return t.offer(now, m)
	}
	e := t.find(m.Ticket.Number)
	if m.Kind == Drop && m.Ticket == (Ticket{}) { // an expired offer: its acceptance never reached the owner
		e = t.findOffer(offerID{m.Owner, m.Job, m.OfferNumber})
	} else if e == nil || m.Ticket.Incarnation != t.incarnation || e.offerID != (offerID{m.Owner, m.Job, m.OfferNumber}) {
		e = nil
	}
	if e == nil {
		if m.Kind != Go {
			return nil
		}
		m.Kind, m.Body = Unknown, nil
		return []Effect{{Action: Send, Message: m}}
	}
	e.peer = m.Peer
	switch m.Kind {
	case Go:
		return t.start(now, e)
	case Drop:
		return t.cancel(e)
	}
	return nil
}

func (t *Taker) offer(now time.Duration, m Message) []Effect {
	at := offerID{m.Owner, m.Job, m.OfferNumber}
	e := t.findOffer(at)
	if e == nil {
		if w, r := t.Jobs(); w+r >= t.capacity {
			return []Effect{{Action: Send, Message: Message{Kind: Decline, Peer: m.Peer, Owner: m.Owner, Job: m.Job, OfferNumber: m.OfferNumber}}}
		}
		t.lastTicket++
		e = &entry{offerID: at, peer: m.Peer, ticket: t.lastTicket, offeredAt: now, expires: now + t.bounds.AcceptTimeout, offer: m}
		t.entries = append(t.entries, e)
	} else if e.status == ended {
		return nil
	}
	return []Effect{{Action: Send, Message: t.message(e, Accept)}}
}

func (t *Taker) start(now time.Duration, e *entry) []Effect {
	switch e.status {
	case accepted:
		if now >= e.expires {
			return t.conclude(e, Returned, 0)
		}
		m := e.offer
		e.status, e.lastContact, e.offer = running, now, Message{}
		return []Effect{{Action: Begin, Ticket: Ticket{t.incarnation, e.ticket}, Message: m, Since: e.offeredAt}, {Action: Send, Message: t.message(e, Started)}}
	case running:
		e.lastContact = now
		return []Effect{{Action: Send, Message: t.message(e, Started)}}
	}
	m := e.result
	m.Peer = e.peer
	return []Effect{{Action: Send, Message: m}}
}

func (t *Taker) cancel(e *entry) []Effect {
	switch e.status {
	case accepted:
		t.conclude(e, Returned, 0) // the owner does not wait for it
	case running:
		t.conclude(e, Failed, 0)
		return []Effect{{Action: Stop, Ticket: Ticket{t.incarnation, e.ticket}}}
	}
	return nil
}

// SendPart sends a part of the response of a run; nil if the run has ended.
func (t *Taker) SendPart(ticket uint64, body []byte) []Effect {
	e := t.find(ticket)
	if e == nil || e.status != running {
		return nil
	}
	e.parts++
	m := t.message(e, Part)
	m.Number, m.Body = e.parts, body
	return []Effect{{Action: Send, Message: m}}
}

// Finish records how a run ended: Done, Failed, or Returned if no replica has run it; attempts is to how many it was sent.
func (t *Taker) Finish(ticket uint64, as Kind, attempts int) []Effect {
	e := t.find(ticket)
	if e == nil || e.status != running {
		return nil
	}
	if as == Returned && e.parts > 0 {
		as = Failed
	}
	return t.conclude(e, as, attempts)
}

// ReturnAccepted returns what awaits its go-ahead and sets the capacity to zero, for a shutdown.
func (t *Taker) ReturnAccepted() (fx []Effect) {
	t.capacity = 0
	for _, e := range append([]*entry{}, t.entries...) {
		if e.status == accepted {
			fx = append(fx, t.conclude(e, Returned, 0)...)
		}
	}
	return fx
}

// Tick does what has become due.
func (t *Taker) Tick(now time.Duration) (fx []Effect) {
	for _, e := range append([]*entry{}, t.entries...) {
		switch {
		case e.status == accepted && now >= e.expires:
			fx = append(fx, t.conclude(e, Returned, 0)...)
		case e.status == running && now-e.lastContact >= t.bounds.Lease:
			fx = append(fx, t.cancel(e)...)
		}
	}
	return fx
}

func (t *Taker) message(e *entry, k Kind) Message {
	return Message{Kind: k, Peer: e.peer, Owner: e.offerID.owner, Job: e.offerID.job, OfferNumber: e.offerID.number, Ticket: Ticket{t.incarnation, e.ticket}}
}

// conclude ends an entry and remembers it among the newest; a forgotten ticket is never begun.
func (t *Taker) conclude(e *entry, as Kind, attempts int) []Effect {
	m := t.message(e, as)
	m.Attempts = attempts
	if as == Done {
		m.Number = e.parts
	}
	e.status, e.result, e.offer = ended, m, Message{}
	t.tombstones = append(t.tombstones, e.ticket)
	for len(t.tombstones) > t.bounds.Tombstones {
		old := t.tombstones[0]
		t.tombstones = t.tombstones[1:]
		t.entries = slices.DeleteFunc(t.entries, func(x *entry) bool { return x.ticket == old })
	}
	return []Effect{{Action: Send, Message: m}}
}
