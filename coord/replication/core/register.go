package core

import (
	"log/slog"
)

// The witness: one compare-and-set register for the epoch after the newest chosen view.
//
// Invariants: what a reply says is synced before the reply goes out; the promise never goes down within an epoch; a promise or acceptance is replaced by a newer view only once that view is known to be chosen.

const ballotMemberBits = 40

// ballotOf makes the ballot of a round. The low bits name the proposer; ids are random, so two members of a group share 40 bits by chance once in 10^12.
func ballotOf(round uint64, id MemberID) Ballot {
	return Ballot(round<<ballotMemberBits | uint64(id)&(1<<ballotMemberBits-1))
}

func ballotRound(b Ballot) uint64 { return uint64(b) >> ballotMemberBits }

// knownEpoch is the epoch of the newest view known.
func (c *Core) knownEpoch() Epoch {
	if c.register.View == nil {
		return 0
	}
	return c.register.View.Epoch
}

// viewNewerThan gives the known view if it is newer than an epoch, to go with a reply.
func (c *Core) viewNewerThan(epoch Epoch) *View {
	if c.knownEpoch() > epoch {
		return c.register.View.Clone()
	}
	return nil
}

// learn takes a chosen view, if it is newer than the known one.
//
// Invariant: views are a chain. A view given here was chosen at a majority of the witnesses of the one before it.
func (c *Core) learn(view *View) {
	if view == nil || view.Epoch <= c.knownEpoch() {
		return
	}
	c.adopt(view)
	if c.change != nil {
		c.failViewChange("a newer view is known")
	}
	c.stopBeingPrimary(SawNewerView)
}

// adopt makes a newer view the known one.
func (c *Core) adopt(view *View) {
	c.register = Register{View: view.Clone()}
	c.registerDirty = true
	c.viewChangeDue = false
	c.lastRound = 0
	if c.state.joined != view.Tag() {
		c.state.joined = StateTag{}
	}
	c.dropIncoming(view)
	c.emit(LearnedView{View: *view.Clone()})
	c.log(slog.LevelInfo, "view changed", slog.Uint64("epoch", uint64(view.Epoch)), slog.String("primary", view.Primary.Address))
}

// replyOnceSynced sends a reply once the register is on disk as it is now.
func (c *Core) replyOnceSynced(reply Message) {
	c.registerDirty = true
	c.repliesAwaitingRegister = append(c.repliesAwaitingRegister, reply)
}

// flushRegister saves the register if this Step changed it.
func (c *Core) flushRegister() {
	if !c.registerDirty {
		return
	}
	c.registerDirty = false
	if c.config.Relay {
		return
	}
	job := diskJob{
		kind:     registerJob,
		epoch:    c.knownEpoch(),
		promised: c.register.Promised,
		replies:  c.repliesAwaitingRegister,
	}
	c.repliesAwaitingRegister = nil
	token := c.disk.add(job)
	c.emit(SaveRegister{Token: token, Register: c.register.Clone()})
}

// registerSaved sends the replies that waited for it.
func (c *Core) registerSaved(job diskJob, err error) {
	for _, reply := range job.replies {
		if err != nil {
			reply = rejectedReply(reply, DiskFailed)
		}
		c.send(reply)
	}
	if err == nil {
		c.ballotSaved(job.epoch, job.promised)
	}
}

// onPrepare promises to accept nothing under a lower ballot.
func (c *Core) onPrepare(m Prepare) {
	reply := PrepareReply{Envelope: c.replyTo(m), Epoch: m.Base.Epoch + 1, Ballot: m.Ballot, Status: c.status()}
	reply.Rejection = c.checkBallot(&m.Base, m.Ballot)
	if reply.Rejection != Granted {
		reply.Promised = c.register.Promised
		reply.View = c.viewNewerThan(m.Base.Epoch)
		c.send(reply)
		return
	}
	c.promise(m.Ballot, m.From)
	reply.AcceptedBallot = c.register.AcceptedBallot
	reply.Accepted = c.register.Accepted.Clone()
	c.replyOnceSynced(reply)
}

// onAccept accepts a proposal.
func (c *Core) onAccept(m Accept) {
	reply := AcceptReply{Envelope: c.replyTo(m), Epoch: m.Base.Epoch + 1, Ballot: m.Ballot}
	reply.Rejection = c.checkBallot(&m.Base, m.Ballot)
	if reply.Rejection != Granted {
		reply.Promised = c.register.Promised
		reply.View = c.viewNewerThan(m.Base.Epoch)
		c.send(reply)
		return
	}
	c.promise(m.Ballot, m.From)
	c.register.AcceptedBallot = m.Ballot
	c.register.Accepted = m.Proposal.Clone()
	c.replyOnceSynced(reply)
}

// checkBallot checks whether this witness may promise or accept a ballot for the epoch after base.
func (c *Core) checkBallot(base *View, ballot Ballot) Rejection {
	if base.Epoch > 0 {
		c.learn(base)
	}
	if c.knownEpoch() > base.Epoch {
		return NewerView
	}
	if c.knownEpoch() < base.Epoch {
		return UnknownView
	}
	if indexOf(base.Witnesses, c.self.ID) < 0 {
		return NotWitness
	}
	if base.Epoch == 0 && !c.sharesSeeds(base) {
		return NotWitness
	}
	if ballot < c.register.Promised {
		return HigherPromise
	}
	return Granted
}

func (c *Core) promise(ballot Ballot, proposer Member) {
	c.register.Promised = ballot
	if proposer.ID != c.self.ID {
		c.lastPromiseAt = c.now
	}
}

// onInstall stores a view that was chosen.
func (c *Core) onInstall(m Install) {
	reply := InstallReply{Envelope: c.replyTo(m), Epoch: m.View.Epoch, Ballot: m.View.Ballot}
	c.learn(&m.View)
	reply.View = c.viewNewerThan(m.View.Epoch)
	if reply.View != nil {
		reply.Rejection = NewerView
		c.send(reply)
		return
	}
	c.replyOnceSynced(reply)
}

// onConfirm replies whether a view is the newest that this witness accepted. It needs no sync: what is not synced counts as accepted already.
func (c *Core) onConfirm(m Confirm) {
	reply := ConfirmReply{Envelope: c.replyTo(m), Epoch: m.Epoch, Ballot: m.Ballot, Round: m.Round}
	reply.View = c.viewNewerThan(m.Epoch)
	known := c.register.View
	switch {
	case reply.View != nil:
		reply.Rejection = NewerView
	case known == nil || known.Tag() != StateTag{Epoch: m.Epoch, Ballot: m.Ballot}:
		reply.Rejection = UnknownView
	case c.register.Accepted != nil:
		reply.Rejection = HigherPromise
	}
	c.send(reply)
}
