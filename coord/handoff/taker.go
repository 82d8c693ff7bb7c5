package handoff

import (
	"slices"
	"sort"
	"time"
)

type status uint8

const (
	accepted status = iota // room is kept, the go-ahead is awaited
	running                // the run was begun, once
	over                   // ended; remembered so as to answer for it
)

type place struct {
	owner, job, turn uint64
}

type entry struct {
	place  place
	peer   string
	ticket uint64
	status status
	came   time.Duration // the offer came
	until  time.Duration // accepted: the go-ahead must come before
	heard  time.Duration // running: the owner's last word
	parts  uint64
	offer  Message // what was offered, until it runs
	last   Message // over: what its owner is told
}

// Taker holds the jobs that this process runs for others.
type Taker struct {
	life    uint64
	next    uint64
	b       Bounds
	room    int
	entries []*entry // by ticket
	graves  []uint64 // tickets that are over, in the order of their ends
}

// NewTaker makes the taker's side for one life of a process.
func NewTaker(life uint64, b Bounds) *Taker {
	return &Taker{life: life, b: b}
}

func (t *Taker) find(ticket uint64) *entry {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].ticket >= ticket })
	if at < len(t.entries) && t.entries[at].ticket == ticket {
		return t.entries[at]
	}
	return nil
}

func (t *Taker) at(p place) *entry {
	for _, e := range t.entries {
		if e.place == p {
			return e
		}
	}
	return nil
}

// SetCapacity sets how many jobs of others may be here at once.
func (t *Taker) SetCapacity(n int) { t.room = n }

// Jobs tells how many jobs await their go-ahead and how many run.
func (t *Taker) Jobs() (waiting, runs int) {
	for _, e := range t.entries {
		switch e.status {
		case accepted:
			waiting++
		case running:
			runs++
		}
	}
	return
}

// Step takes a message from an owner.
func (t *Taker) Step(now time.Duration, m Message) []Effect {
	if m.Kind == Offer {
		return t.offer(now, m)
	}
	e := t.find(m.Ticket.Number)
	if m.Kind == Drop && m.Ticket == (Ticket{}) { // a void offer: its acceptance never reached the owner
		e = t.at(place{m.Owner, m.Job, m.OfferNumber})
	} else if e == nil || m.Ticket.Incarnation != t.life || e.place != (place{m.Owner, m.Job, m.OfferNumber}) {
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
		return t.goAhead(now, e)
	case Drop:
		return t.drop(e)
	}
	return nil
}

func (t *Taker) offer(now time.Duration, m Message) []Effect {
	at := place{m.Owner, m.Job, m.OfferNumber}
	e := t.at(at)
	if e == nil {
		if w, r := t.Jobs(); w+r >= t.room {
			return []Effect{{Action: Send, Message: Message{Kind: Decline, Peer: m.Peer, Owner: m.Owner, Job: m.Job, OfferNumber: m.OfferNumber}}}
		}
		t.next++
		e = &entry{place: at, peer: m.Peer, ticket: t.next, came: now, until: now + t.b.AcceptTimeout, offer: m}
		t.entries = append(t.entries, e)
	} else if e.status == over {
		return nil
	}
	return []Effect{{Action: Send, Message: t.message(e, Accept)}}
}

func (t *Taker) goAhead(now time.Duration, e *entry) []Effect {
	switch e.status {
	case accepted:
		if now >= e.until {
			return t.finish(e, Returned, 0)
		}
		m := e.offer
		e.status, e.heard, e.offer = running, now, Message{}
		return []Effect{{Action: Begin, Ticket: Ticket{t.life, e.ticket}, Message: m, Since: e.came}, {Action: Send, Message: t.message(e, Started)}}
	case running:
		e.heard = now
		return []Effect{{Action: Send, Message: t.message(e, Started)}}
	}
	m := e.last
	m.Peer = e.peer
	return []Effect{{Action: Send, Message: m}}
}

func (t *Taker) drop(e *entry) []Effect {
	switch e.status {
	case accepted:
		t.finish(e, Returned, 0) // the owner does not wait for it
	case running:
		t.finish(e, Failed, 0)
		return []Effect{{Action: Stop, Ticket: Ticket{t.life, e.ticket}}}
	}
	return nil
}

// SendPart sends a part of the answer of a run.
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

// Finish tells how a run ended: Done, Failed, or Returned if no replica has run it. shots is how many it was sent to.
func (t *Taker) Finish(ticket uint64, as Kind, shots int) []Effect {
	e := t.find(ticket)
	if e == nil || e.status != running {
		return nil
	}
	if as == Returned && e.parts > 0 {
		as = Failed
	}
	return t.finish(e, as, shots)
}

// ReturnAccepted gives back what waits for its go-ahead; a leaving node takes no more.
func (t *Taker) ReturnAccepted() (fx []Effect) {
	t.room = 0
	for _, e := range append([]*entry{}, t.entries...) {
		if e.status == accepted {
			fx = append(fx, t.finish(e, Returned, 0)...)
		}
	}
	return fx
}

// Tick does what has fallen due.
func (t *Taker) Tick(now time.Duration) (fx []Effect) {
	for _, e := range append([]*entry{}, t.entries...) {
		switch {
		case e.status == accepted && now >= e.until:
			fx = append(fx, t.finish(e, Returned, 0)...)
		case e.status == running && now-e.heard >= t.b.Lease:
			fx = append(fx, t.drop(e)...)
		}
	}
	return fx
}

func (t *Taker) message(e *entry, k Kind) Message {
	return Message{Kind: k, Peer: e.peer, Owner: e.place.owner, Job: e.place.job, OfferNumber: e.place.turn, Ticket: Ticket{t.life, e.ticket}}
}

// finish ends an entry and remembers it among the newest; a forgotten ticket is never begun.
func (t *Taker) finish(e *entry, as Kind, shots int) []Effect {
	m := t.message(e, as)
	m.Attempts = shots
	if as == Done {
		m.Number = e.parts
	}
	e.status, e.last, e.offer = over, m, Message{}
	t.graves = append(t.graves, e.ticket)
	for len(t.graves) > t.b.Tombstones {
		old := t.graves[0]
		t.graves = t.graves[1:]
		t.entries = slices.DeleteFunc(t.entries, func(x *entry) bool { return x.ticket == old })
	}
	return []Effect{{Action: Send, Message: m}}
}
