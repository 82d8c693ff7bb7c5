package handoff

import (
	"sort"
	"time"
)

// stage is where a job is.
type stage uint8

const (
	pending stage = iota // with the owner; no go-ahead is open
	local                // the owner runs it itself
	offered              // an offer is out, no go-ahead
	remote               // a go-ahead was given: it may have begun
)

// job is one request of a client, from Take to its End or until it leaves the owner.
type job struct {
	number       uint64
	deadline     time.Duration
	repeatable   bool // may run more than once
	attempts     int  // replicas that it may still be sent to
	lentAttempts int  // of these, lent with the offer
	mayHaveRun   bool // an earlier run may have begun
	stage        stage
	peer         string
	offerNumber  uint64
	ticket       Ticket
	offerExpires time.Duration // offered: the offer's end
	lastContact  time.Duration // remote: the taker's last message
	lastRenewed  time.Duration // remote: the newest go-ahead
	parts        uint64        // delivered under this ticket
}

// Owner is the state machine of the jobs that this process took from clients. It alone answers them, each once. It gives a
// go-ahead for one ticket of a job at a time, and for a job that is not repeatable never after a run that may have begun.
// An End effect with Rejected is a promise that no run has begun and none will. Its methods must not be called
// concurrently; now must not go back.
type Owner struct {
	incarnation uint64
	lastNumber  uint64
	bounds      Bounds
	jobs        []*job // by number
}

// NewOwner returns an owner without jobs. No two processes, and no two starts of one, may use the same incarnation.
func NewOwner(incarnation uint64, bounds Bounds) *Owner {
	return &Owner{incarnation: incarnation, bounds: bounds}
}

// Incarnation is the incarnation that the owner was made with.
func (o *Owner) Incarnation() uint64 { return o.incarnation }

// find returns a job and its place; where it would be, and nil, if there is none.
func (o *Owner) find(number uint64) (at int, j *job) {
	at = sort.Search(len(o.jobs), func(i int) bool { return o.jobs[i].number >= number })
	if at < len(o.jobs) && o.jobs[at].number == number {
		return at, o.jobs[at]
	}
	return at, nil
}

func (o *Owner) remove(number uint64) {
	if at, j := o.find(number); j != nil {
		o.jobs = append(o.jobs[:at], o.jobs[at+1:]...)
	}
}

// Take adds a new job and numbers it. repeatable says that it may run more than once, attempts to how many replicas it may
// be sent.
func (o *Owner) Take(deadline time.Duration, repeatable bool, attempts int) uint64 {
	o.lastNumber++
	o.jobs = append(o.jobs, &job{number: o.lastNumber, deadline: deadline, repeatable: repeatable, attempts: attempts})
	return o.lastNumber
}

// Offer offers a pending job to a peer; nil if it is not pending. Of the attempts left one stays with the owner, if it may
// be needed.
func (o *Owner) Offer(now time.Duration, number uint64, to string, body []byte) []Effect {
	_, j := o.find(number)
	if j == nil || j.stage != pending || j.attempts < 1 {
		return nil
	}
	j.offerNumber++
	j.stage, j.peer, j.offerExpires, j.parts, j.ticket = offered, to, now+o.bounds.AnswerTimeout, 0, Ticket{}
	j.lentAttempts = j.attempts
	if j.repeatable && j.attempts > 1 {
		j.lentAttempts--
	}
	m := o.message(j, Offer)
	m.Attempts, m.Body = j.lentAttempts, body
	return []Effect{{Action: Send, Message: m}}
}

// Reclaim lets the owner run a pending job itself; ok is false if it is not pending or its deadline has passed. The job
// leaves the machine: nothing of it is open elsewhere. mayHaveRun says that an earlier run may have begun, attempts how
// many are left.
func (o *Owner) Reclaim(now time.Duration, number uint64) (mayHaveRun bool, attempts int, ok bool) {
	_, j := o.find(number)
	if j == nil || j.stage != pending || j.attempts < 1 || now >= j.deadline {
		return false, 0, false
	}
	j.stage = local
	o.remove(number)
	return j.mayHaveRun, j.attempts, true
}

// GiveUp ends a job that can be placed nowhere, at once, with what is known of it.
func (o *Owner) GiveUp(number uint64) []Effect {
	_, j := o.find(number)
	if j == nil {
		return nil
	}
	return o.finish(j, Indeterminate)
}

// Abandon removes a job whose client is gone.
func (o *Owner) Abandon(number uint64) []Effect {
	_, j := o.find(number)
	if j == nil {
		return nil
	}
	o.remove(number)
	return o.cancel(j)
}

// Step takes a message from a taker. What belongs to no open offer or run of a job is ignored, or answered with Drop if
// the taker still holds capacity for it.
func (o *Owner) Step(now time.Duration, m Message) []Effect {
	if m.Owner != o.incarnation {
		return nil
	}
	_, j := o.find(m.Job)
	isCurrent := j != nil && j.stage == remote && j.ticket == m.Ticket
	switch m.Kind {
	case Decline:
		if j != nil && j.isOffered(&m) {
			return o.requeue(j)
		}
	case Accept:
		if j != nil && o.mayStart(now, j, &m) {
			return o.start(now, j, m.Ticket)
		}
		if !isCurrent { // else it is a repeat
			return dropOf(m)
		}
	case Started, Part:
		if !isCurrent {
			return dropOf(m)
		}
		return o.stepRunning(now, j, m)
	case Done, Returned, Failed, Unknown:
		if isCurrent {
			return o.stepEnded(j, m)
		}
	}
	return nil
}

// start gives the go-ahead for an acceptance.
func (o *Owner) start(now time.Duration, j *job, ticket Ticket) []Effect {
	j.stage, j.ticket, j.lastContact, j.lastRenewed = remote, ticket, now, now
	return []Effect{{Action: Send, Message: o.message(j, Go)}}
}

// dropOf is the message that frees a taker's capacity, or cancels its run, for a job that the owner does not need there.
func dropOf(m Message) []Effect {
	m.Kind, m.Body = Drop, nil
	return []Effect{{Action: Send, Message: m}}
}

// stepRunning takes a message of the current run.
func (o *Owner) stepRunning(now time.Duration, j *job, m Message) []Effect {
	j.lastContact = now
	if m.Kind != Part || m.Number <= j.parts {
		return nil
	}
	if m.Number > j.parts+1 { // one was lost: the others can't be joined to it
		return o.handleLoss(j)
	}
	j.parts++
	return []Effect{{Action: Deliver, Job: j.number, Message: m}}
}

// stepEnded takes the end of the current run.
func (o *Owner) stepEnded(j *job, m Message) []Effect {
	switch {
	case m.Kind == Done && m.Number == j.parts:
		o.remove(j.number)
		return []Effect{{Action: End, Job: j.number, Outcome: Complete, Message: m}}
	case m.Kind == Returned && j.parts == 0:
		j.attempts -= min(max(m.Attempts, 0), j.lentAttempts)
		return o.requeue(j)
	}
	return o.handleLoss(j)
}

// isOffered reports whether a message answers the open offer of the job.
func (j *job) isOffered(m *Message) bool {
	return j.stage == offered && j.peer == m.Peer && j.offerNumber == m.OfferNumber
}

// mayStart reports whether an acceptance may be answered with a go-ahead. An owner that was frozen may read it before it
// has looked at the time: what has expired by then must not begin.
func (o *Owner) mayStart(now time.Duration, j *job, m *Message) bool {
	if now >= j.offerExpires || now >= j.deadline {
		return false
	}
	return j.isOffered(m)
}

// Tick does what has become due.
func (o *Owner) Tick(now time.Duration) (fx []Effect) {
	for _, j := range append([]*job{}, o.jobs...) {
		switch {
		case now >= j.deadline:
			fx = append(fx, o.finish(j, DeadlineExceeded)...)
		case j.stage == offered && now >= j.offerExpires:
			fx = append(append(fx, o.cancel(j)...), o.requeue(j)...)
		case j.stage == remote && now-j.lastContact >= o.bounds.Lease:
			fx = append(fx, o.handleLoss(j)...)
		case j.stage == remote && now-j.lastRenewed >= o.bounds.RenewInterval:
			j.lastRenewed = now
			fx = append(fx, Effect{Action: Send, Message: o.message(j, Go)})
		}
	}
	return fx
}

// Jobs counts the jobs that are pending, offered and run elsewhere.
func (o *Owner) Jobs() (waiting, out, elsewhere int) {
	for _, j := range o.jobs {
		switch j.stage {
		case pending:
			waiting++
		case offered:
			out++
		case remote:
			elsewhere++
		}
	}
	return waiting, out, elsewhere
}

func (o *Owner) message(j *job, k Kind) Message {
	return Message{Kind: k, Peer: j.peer, Owner: o.incarnation, Job: j.number, OfferNumber: j.offerNumber, Ticket: j.ticket}
}

// cancel tells the taker that the owner does not need its job any more.
func (o *Owner) cancel(j *job) []Effect {
	if j.stage != offered && j.stage != remote {
		return nil
	}
	return []Effect{{Action: Send, Message: o.message(j, Drop)}}
}

// requeue makes a job pending again, for its caller to place anew.
func (o *Owner) requeue(j *job) []Effect {
	j.stage, j.ticket = pending, Ticket{}
	return []Effect{{Action: Requeue, Job: j.number}}
}

// handleLoss deals with a run that may have begun and of which nothing more is to be expected.
func (o *Owner) handleLoss(j *job) []Effect {
	fx := o.cancel(j)
	j.mayHaveRun = true
	j.attempts -= j.lentAttempts
	if j.repeatable && j.attempts > 0 {
		return append(fx, o.requeue(j)...)
	}
	j.stage = pending // the drop is sent
	return append(fx, o.finish(j, Indeterminate)...)
}

// finish ends a job with an outcome, or as rejected if no run of it may have begun.
func (o *Owner) finish(j *job, as Outcome) []Effect {
	o.remove(j.number)
	fx := o.cancel(j)
	if j.stage != remote && !j.mayHaveRun {
		as = Rejected
	}
	return append(fx, Effect{Action: End, Job: j.number, Outcome: as})
}
