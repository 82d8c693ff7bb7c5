package core

import (
	"log/slog"
	"slices"
)

func (c *Core) prepare() {
	change := c.change
	c.lastRound = max(c.lastRound, ballotRound(c.register.Promised)) + 1
	change.ballot = ballotOf(c.lastRound, c.self.ID)
	// Invariant: no two incarnations of a member use one ballot. The ballot is promised on the own disk before state is offered or a view proposed under it, also if this member is no witness.
	c.register.Promised = change.ballot
	c.registerDirty = true
	c.enterPhase(preparing)
}

func (c *Core) ballotSaved(epoch Epoch, promised Ballot) {
	change := c.change
	if change == nil || change.phase == repairing || epoch != change.base.Epoch || promised < change.ballot {
		return
	}
	change.ballotSynced = true
	c.considerPrepared()
}

// considerPrepared continues once a quorum has promised and the own promise is synced.
func (c *Core) considerPrepared() {
	change := c.change
	if change.phase != preparing || !change.ballotSynced || !c.hasQuorum() {
		return
	}
	if change.earlierProposal != nil {
		c.enterPhase(finishing) // it may be chosen already, so it is proposed again
		return
	}
	change.phase = transferring
	change.deadline = 0
	c.continueTransfers()
}

// propose asks the witnesses to accept the view with the replicas that have the state.
func (c *Core) propose() {
	change := c.change
	if 1+len(change.ready) < c.minReplicas(&change.base) {
		c.failViewChange("too few backups available")
		return
	}
	change.proposal = View{
		Epoch:     change.epoch(),
		Ballot:    change.ballot,
		Witnesses: change.base.Witnesses,
		Primary:   c.self,
		Backups:   change.ready,
		Base:      c.state.position,
	}
	if change.base.Epoch > 0 {
		if witnesses := c.nextWitnesses(&change.base); witnesses != nil {
			change.proposal.Witnesses = witnesses
		}
	}
	c.enterPhase(accepting)
}

// earlierProposalFinished ends a view change that completed an earlier proposal.
//
// Invariant: one primary writes in a view, and only the member that proposed it, in that incarnation. So this member does not become primary here, even if the earlier proposal names it.
func (c *Core) earlierProposalFinished() {
	found := c.change.earlierProposal
	c.failViewChange("completed an earlier proposal")
	c.learn(found)
	if p := c.peer(found.Primary.ID); p == nil || c.now-p.lastSeen > c.timing.PrimaryTimeout {
		c.retryAfter = c.now // the primary of that view failed meanwhile: propose the next one without backoff
	}
}

// proposalChosen takes the view that a majority of the old witnesses accepted.
func (c *Core) proposalChosen() {
	change := c.change
	proposal := change.proposal
	c.adopt(&proposal)
	if sameMembers(proposal.Witnesses, change.base.Witnesses) {
		c.becomePrimary()
		return
	}
	c.enterPhase(installing)
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.ID == y.ID })
}

// becomePrimary starts serving as the primary of the own view.
func (c *Core) becomePrimary() {
	view := c.change.proposal
	c.change = nil
	c.state.tag = view.Tag()
	c.isPrimary = true
	c.primaryEpoch = view.Epoch
	c.lastPrimaryContact = c.now
	c.lastPrimary = c.self
	c.viewChangeDue = false
	c.log(slog.LevelInfo, "became primary", slog.Uint64("epoch", uint64(view.Epoch)), slog.Int("backups", len(view.Backups)), slog.Int("witnesses", len(view.Witnesses)))
	c.emit(BecamePrimary{Epoch: view.Epoch})
	c.applyTail()
	c.commitCarried()
	c.heartbeat()
	c.checkView()
}
