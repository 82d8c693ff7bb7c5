package core

import (
	"slices"
	"time"
)

// pendingCall is a result that waits for a round of confirmation.
type pendingCall struct {
	token    Token
	deadline time.Duration
	outcome  Outcome
	err      error
}

// confirmation asks the witnesses whether a later view was accepted, in rounds.
//
// Invariant: every definite result is linearizable. A rejection, a "no change" and a read are given only after a majority of the view's witnesses replied, in a round begun after the call arrived (for the first two: after Decide ran), that they accepted no later view. So no later view was chosen when the round began, and the state the answer speaks of was the newest then.
type confirmation struct {
	round      uint64
	running    bool
	startedAt  time.Duration
	sentAt     time.Duration
	granted    []MemberID
	inRound    []pendingCall // that the running round serves
	queued     []pendingCall // for the next round
	superseded bool          // a witness of the running round has accepted a later view
	required   bool          // no definite result and no command before a round has ended
	confirmBy  time.Duration
}

// abandonRound ends the running round without results; its calls wait for the next one.
func (f *confirmation) abandonRound() {
	f.running = false
	f.queued = append(f.inRound, f.queued...)
	f.inRound = nil
}

// requireRound requires a new round before any definite result.
func (f *confirmation) requireRound() {
	if !f.required {
		f.abandonRound()
	}
	f.required = true
}

// reset keeps only the number of the last round, which is never used again in this incarnation.
func (f *confirmation) reset() {
	*f = confirmation{round: f.round}
}

func (f *confirmation) takeAll() []pendingCall {
	calls := append(f.inRound, f.queued...)
	f.inRound = nil
	f.queued = nil
	return calls
}

// enqueueRead queues a read for the next round.
func (c *Core) enqueueRead(read Read) {
	if !c.isPrimary {
		c.sendResult(read.Token, Deposed, nil)
		return
	}
	if len(c.confirm.inRound)+len(c.confirm.queued) >= c.limits.MaxPending {
		c.sendResult(read.Token, Indeterminate, ErrTooManyPending)
		return
	}
	c.finishAfterRound(pendingCall{token: read.Token, deadline: read.Deadline, outcome: Current})
}

// finishAfterRound gives a call its result after the next round.
func (c *Core) finishAfterRound(waiting pendingCall) {
	c.confirm.queued = append(c.confirm.queued, waiting)
}

// startRound begins a round if one is needed. One round serves all calls that wait.
func (c *Core) startRound() {
	f := &c.confirm
	wanted := len(f.queued) > 0 || f.required
	if !wanted || f.running || !c.isPrimary || c.change != nil {
		return
	}
	f.round++
	f.running = true
	f.startedAt = c.now
	f.granted = nil
	f.superseded = false
	f.inRound = f.queued
	f.queued = nil
	c.sendConfirms()
}

func (c *Core) sendConfirms() {
	c.confirm.sentAt = c.now
	view := c.register.View
	for _, witness := range view.Witnesses {
		if !slices.Contains(c.confirm.granted, witness.ID) {
			c.send(Confirm{Envelope: c.envelopeTo(witness), Epoch: view.Epoch, Ballot: view.Ballot, Round: c.confirm.round})
		}
	}
}

// onConfirmReply counts a witness once, and ends the round with a majority. The view's tag is compared because rounds count from 1 in each incarnation: a late reply to an earlier one may bear this round's number, but not this view.
func (c *Core) onConfirmReply(m ConfirmReply) {
	c.learn(m.View)
	f := &c.confirm
	view := c.register.View
	if !c.isPrimary || !f.running || m.Round != f.round || view.Tag() != (StateTag{Epoch: m.Epoch, Ballot: m.Ballot}) {
		return
	}
	if indexOf(view.Witnesses, m.From.ID) < 0 || slices.Contains(f.granted, m.From.ID) {
		return
	}
	if m.Rejection != Granted {
		f.superseded = f.superseded || m.Rejection == HigherPromise
		return
	}
	f.granted = append(f.granted, m.From.ID)
	if len(f.granted) < majority(len(view.Witnesses)) {
		return
	}
	c.roundConfirmed()
}

func (c *Core) roundConfirmed() {
	f := &c.confirm
	f.running = false
	f.required = false
	calls := f.inRound
	f.inRound = nil
	for _, waiting := range calls {
		c.finishInTime(waiting)
	}
}

func (c *Core) finishInTime(waiting pendingCall) {
	if c.now > waiting.deadline {
		c.sendResult(waiting.token, Indeterminate, ErrDeadlineExceeded)
		return
	}
	c.sendResult(waiting.token, waiting.outcome, waiting.err)
}

// tickConfirmation repeats requests without reply. A round that does not end in time makes way for a new one, which serves the queued calls as well.
func (c *Core) tickConfirmation() {
	f := &c.confirm
	if !f.running || c.change != nil {
		return
	}
	if c.now-f.startedAt >= c.timing.ReplyTimeout {
		f.abandonRound()
		c.viewChangeDue = c.viewChangeDue || f.superseded // the later proposal must be finished first: until then no round can end
		return
	}
	if c.now-f.sentAt >= c.timing.ResendInterval {
		c.sendConfirms()
	}
}

// expireCalls ends the calls whose deadline has passed.
func (c *Core) expireCalls() {
	c.expireCommands()
	if w := c.write; w != nil && !w.resultSent && c.now > w.command.Deadline {
		w.resultSent = true
		c.sendResult(w.command.Token, Indeterminate, ErrDeadlineExceeded)
	}
	late := func(waiting pendingCall) bool {
		over := c.now > waiting.deadline
		if over {
			c.sendResult(waiting.token, Indeterminate, ErrDeadlineExceeded)
		}
		return over
	}
	c.confirm.inRound = slices.DeleteFunc(c.confirm.inRound, late)
	c.confirm.queued = slices.DeleteFunc(c.confirm.queued, late)
}
