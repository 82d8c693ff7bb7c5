package core

import (
	"slices"
	"time"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// call is an answer that waits for the witnesses' word.
type call struct {
	token    Token
	deadline time.Duration
	outcome  Outcome
	err      error
}

// confirmation asks the witnesses whether a later view was accepted, in rounds.
//
// Invariant: every clear answer is linearizable. A refusal, an empty acknowledgement and a read are answered only after a majority of the view's witnesses said, in a round begun after the call arrived (for the first two: after Decide ran), that they accepted no later view. So no later view was chosen when the round began, and the state the answer speaks of was the newest then.
type confirmation struct {
	round       uint64
	running     bool
	begun       time.Duration
	sentAt      time.Duration
	granted     []MemberID
	asked       []call // that the running round serves
	waiting     []call // for the next round
	overtaken   bool   // a witness of the running round has accepted a later view
	doubted     bool   // no clear answer and no order before a round has ended
	proveBefore time.Duration
}

// void ends the running round without an answer; its calls wait for the next one.
func (f *confirmation) void() {
	f.running = false
	f.waiting = append(f.asked, f.waiting...)
	f.asked = nil
}

// doubt demands a new round before anything clear is said.
func (f *confirmation) doubt() {
	if !f.doubted {
		f.void()
	}
	f.doubted = true
}

// reset forgets all but the number of the last round, which is never used again.
func (f *confirmation) reset() {
	*f = confirmation{round: f.round}
}

func (f *confirmation) takeAll() []call {
	calls := append(f.asked, f.waiting...)
	f.asked = nil
	f.waiting = nil
	return calls
}

// takeRead queues a read for the next round.
func (c *Core) takeRead(read Read) {
	if !c.active {
		c.answer(read.Token, Deposed, nil)
		return
	}
	if len(c.confirm.asked)+len(c.confirm.waiting) >= c.limits.MaxPending {
		c.answer(read.Token, Indeterminate, ErrTooManyPending)
		return
	}
	c.confirmBefore(call{token: read.Token, deadline: read.Deadline, outcome: Current}, c.mutation == mutation.SkipConfirmOnRead)
}

// confirmBefore answers a call after the next round.
func (c *Core) confirmBefore(waiting call, skip bool) {
	if skip {
		c.answer(waiting.token, waiting.outcome, waiting.err)
		return
	}
	c.confirm.waiting = append(c.confirm.waiting, waiting)
}

// runConfirmation begins a round if one is wanted. One round serves all calls that wait.
func (c *Core) runConfirmation() {
	f := &c.confirm
	wanted := len(f.waiting) > 0 || f.doubted
	if !wanted || f.running || !c.active || c.change != nil {
		return
	}
	f.round++
	f.running = true
	f.begun = c.now
	f.granted = nil
	f.overtaken = false
	f.asked = f.waiting
	f.waiting = nil
	c.askConfirm()
}

func (c *Core) askConfirm() {
	c.confirm.sentAt = c.now
	view := c.register.View
	for _, witness := range view.Witnesses {
		if !slices.Contains(c.confirm.granted, witness.ID) {
			c.send(Confirm{Envelope: c.to(witness), Epoch: view.Epoch, Ballot: view.Ballot, Round: c.confirm.round})
		}
	}
}

// onConfirmReply counts a witness, and answers the calls of the round once a majority has spoken.
func (c *Core) onConfirmReply(m ConfirmReply) {
	c.learn(m.View)
	f := &c.confirm
	view := c.register.View
	if !c.active || !f.running || m.Round != f.round || view.Tag() != (StateTag{Epoch: m.Epoch, Ballot: m.Ballot}) {
		return
	}
	if indexOf(view.Witnesses, m.From.ID) < 0 || slices.Contains(f.granted, m.From.ID) {
		return
	}
	if m.Rejection != Granted {
		f.overtaken = f.overtaken || m.Rejection == HigherPromise
		return
	}
	f.granted = append(f.granted, m.From.ID)
	needed := majority(len(view.Witnesses))
	if c.mutation == mutation.SkipMajority {
		needed = 1
	}
	if len(f.granted) < needed {
		return
	}
	c.confirmed()
}

func (c *Core) confirmed() {
	f := &c.confirm
	f.running = false
	f.doubted = false
	calls := f.asked
	f.asked = nil
	for _, waiting := range calls {
		c.answerInTime(waiting)
	}
}

func (c *Core) answerInTime(waiting call) {
	if c.now > waiting.deadline {
		c.answer(waiting.token, Indeterminate, ErrDeadlineExceeded)
		return
	}
	c.answer(waiting.token, waiting.outcome, waiting.err)
}

// tickConfirmation repeats what was not answered. A round that does not end makes way for a new one, which serves those that wait as well.
func (c *Core) tickConfirmation() {
	f := &c.confirm
	if !f.running || c.change != nil {
		return
	}
	if c.now-f.begun >= c.timing.ReplyTimeout {
		f.void()
		c.viewChangeDue = c.viewChangeDue || f.overtaken // what was begun must be finished before anybody can be sure
		return
	}
	if c.now-f.sentAt >= c.timing.ResendInterval {
		c.askConfirm()
	}
}

// expireCalls ends the calls whose time is over.
func (c *Core) expireCalls() {
	c.expireOrders()
	if w := c.write; w != nil && !w.answered && c.now > w.order.Deadline {
		w.answered = true
		c.answer(w.order.Token, Indeterminate, ErrDeadlineExceeded)
	}
	late := func(waiting call) bool {
		over := c.now > waiting.deadline
		if over {
			c.answer(waiting.token, Indeterminate, ErrDeadlineExceeded)
		}
		return over
	}
	c.confirm.asked = slices.DeleteFunc(c.confirm.asked, late)
	c.confirm.waiting = slices.DeleteFunc(c.confirm.waiting, late)
}
