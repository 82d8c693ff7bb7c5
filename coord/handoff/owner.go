package handoff

import (
	"sort"
	"time"
)

type stage uint8

const (
	held    stage = iota // with the owner; no go-ahead is open
	here                 // the owner runs it itself
	offered              // an offer is out, no go-ahead
	gone                 // a go-ahead was given: it may have begun
)

type job struct {
	number   uint64
	deadline time.Duration
	again    bool // may run more than once
	shots    int  // replicas that it may still be sent to
	lent     int  // of these, lent with the offer
	lost     bool // an earlier run may have begun
	stage    stage
	to       string
	turn     uint64
	ticket   Ticket
	until    time.Duration // offered: the offer's end
	heard    time.Duration // gone: the taker's last word
	told     time.Duration // gone: the newest go-ahead
	parts    uint64        // passed on under this ticket
}

// Owner holds the jobs that this process took from clients. It alone answers them.
type Owner struct {
	life uint64
	next uint64
	b    Bounds
	jobs []*job // by number
}

// NewOwner makes the owner's side for one life of a process.
func NewOwner(life uint64, b Bounds) *Owner {
	return &Owner{life: life, b: b}
}

// Incarnation is the life of the process that owns the jobs.
func (o *Owner) Incarnation() uint64 { return o.life }

func (o *Owner) find(number uint64) (at int, j *job) {
	at = sort.Search(len(o.jobs), func(i int) bool { return o.jobs[i].number >= number })
	if at < len(o.jobs) && o.jobs[at].number == number {
		return at, o.jobs[at]
	}
	return at, nil
}

func (o *Owner) forget(number uint64) {
	if at, j := o.find(number); j != nil {
		o.jobs = append(o.jobs[:at], o.jobs[at+1:]...)
	}
}

// Take holds a new job and numbers it. again tells that it may run more than once, shots to how many replicas it may be sent.
func (o *Owner) Take(deadline time.Duration, again bool, shots int) uint64 {
	o.next++
	o.jobs = append(o.jobs, &job{number: o.next, deadline: deadline, again: again, shots: shots})
	return o.next
}

// Offer offers a held job to a node. Of the shots left one stays here, if it may be needed.
func (o *Owner) Offer(now time.Duration, number uint64, to string, body []byte) []Effect {
	_, j := o.find(number)
	if j == nil || j.stage != held || j.shots < 1 {
		return nil
	}
	j.turn++
	j.stage, j.to, j.until, j.parts, j.ticket = offered, to, now+o.b.AnswerTimeout, 0, Ticket{}
	j.lent = j.shots
	if j.again && j.shots > 1 {
		j.lent--
	}
	m := o.message(j, Offer)
	m.Attempts, m.Body = j.lent, body
	return []Effect{{Action: Send, Message: m}}
}

// Reclaim lets the owner run a held job itself; false if it is not held or its time is over. The job leaves the machine: nothing is open elsewhere. lost tells that an earlier run may have begun, shots how many replicas are left.
func (o *Owner) Reclaim(now time.Duration, number uint64) (lost bool, shots int, ok bool) {
	_, j := o.find(number)
	if j == nil || j.stage != held || j.shots < 1 || now >= j.deadline {
		return false, 0, false
	}
	j.stage = here
	o.forget(number)
	return j.lost, j.shots, true
}

// GiveUp ends a job that can be placed nowhere: at once, with what is known of it.
func (o *Owner) GiveUp(number uint64) []Effect {
	_, j := o.find(number)
	if j == nil {
		return nil
	}
	return o.end(j, Indeterminate)
}

// Abandon forgets a job whose client is gone.
func (o *Owner) Abandon(number uint64) []Effect {
	_, j := o.find(number)
	if j == nil {
		return nil
	}
	o.forget(number)
	return o.drop(j)
}

// Step takes a message from a taker.
func (o *Owner) Step(now time.Duration, m Message) []Effect {
	if m.Owner != o.life {
		return nil
	}
	_, j := o.find(m.Job)
	if j == nil || m.Kind != Decline && m.Kind != Accept && !(j.stage == gone && j.ticket == m.Ticket) || m.Kind == Accept && !o.takes(now, j, &m) {
		if j != nil && j.stage == gone && j.ticket == m.Ticket {
			return nil
		}
		switch m.Kind {
		case Accept, Started, Part: // it still holds room, or runs, for nothing
			m.Kind, m.Body = Drop, nil
			return []Effect{{Action: Send, Message: m}}
		}
		return nil
	}
	switch m.Kind {
	case Decline:
		if j.stage == offered && j.to == m.Peer && j.turn == m.OfferNumber {
			return o.back(j)
		}
	case Accept:
		j.stage, j.ticket, j.heard, j.told = gone, m.Ticket, now, now
		return []Effect{{Action: Send, Message: o.message(j, Go)}}
	case Started:
		j.heard = now
	case Part:
		j.heard = now
		if m.Number == j.parts+1 {
			j.parts++
			return []Effect{{Action: Deliver, Job: j.number, Message: m}}
		}
		if m.Number > j.parts { // one was lost: the rest can't be joined to it
			return o.lose(j)
		}
	case Done:
		if m.Number == j.parts {
			o.forget(j.number)
			return []Effect{{Action: End, Job: j.number, Outcome: Complete, Message: m}}
		}
		return o.lose(j)
	case Returned:
		if j.parts > 0 {
			return o.lose(j)
		}
		j.shots -= min(max(m.Attempts, 0), j.lent)
		return o.back(j)
	case Failed, Unknown:
		return o.lose(j)
	}
	return nil
}

// takes tells whether an acceptance may be answered with a go-ahead. An owner that was frozen may read it
// before it has looked at the time: what is over by then must not begin.
func (o *Owner) takes(now time.Duration, j *job, m *Message) bool {
	if now >= j.until || now >= j.deadline {
		return false
	}
	return j.stage == offered && j.to == m.Peer && j.turn == m.OfferNumber
}

// Tick does what has fallen due.
func (o *Owner) Tick(now time.Duration) (fx []Effect) {
	for _, j := range append([]*job{}, o.jobs...) {
		switch {
		case now >= j.deadline:
			fx = append(fx, o.end(j, DeadlineExceeded)...)
		case j.stage == offered && now >= j.until:
			fx = append(append(fx, o.drop(j)...), o.back(j)...)
		case j.stage == gone && now-j.heard >= o.b.Lease:
			fx = append(fx, o.lose(j)...)
		case j.stage == gone && now-j.told >= o.b.RenewInterval:
			j.told = now
			fx = append(fx, Effect{Action: Send, Message: o.message(j, Go)})
		}
	}
	return fx
}

// Jobs tells how many jobs are held, offered and run elsewhere.
func (o *Owner) Jobs() (waiting, out, elsewhere int) {
	for _, j := range o.jobs {
		switch j.stage {
		case held:
			waiting++
		case offered:
			out++
		case gone:
			elsewhere++
		}
	}
	return
}

func (o *Owner) message(j *job, k Kind) Message {
	return Message{Kind: k, Peer: j.to, Owner: o.life, Job: j.number, OfferNumber: j.turn, Ticket: j.ticket}
}

func (o *Owner) drop(j *job) []Effect {
	if j.stage != offered && j.stage != gone {
		return nil
	}
	return []Effect{{Action: Send, Message: o.message(j, Drop)}}
}

func (o *Owner) back(j *job) []Effect {
	j.stage, j.ticket = held, Ticket{}
	return []Effect{{Action: Requeue, Job: j.number}}
}

// lose deals with a run that may have begun and of which nothing more is to be expected.
func (o *Owner) lose(j *job) []Effect {
	fx := o.drop(j)
	j.lost = true
	j.shots -= j.lent
	if j.again && j.shots > 0 {
		return append(fx, o.back(j)...)
	}
	j.stage = held // the drop is said
	return append(fx, o.end(j, Indeterminate)...)
}

func (o *Owner) end(j *job, as Outcome) []Effect {
	o.forget(j.number)
	fx := o.drop(j)
	if j.stage != gone && !j.lost {
		as = Rejected
	}
	return append(fx, Effect{Action: End, Job: j.number, Outcome: as})
}
