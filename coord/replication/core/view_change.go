package core

import (
	"log/slog"
	"slices"
	"time"
)

// A view change, run by the member that wants to be the primary of the next view: seal, prepare at the witnesses, give the state to the copies to be, accept at a majority of the witnesses, install at a majority of the new witnesses if they moved.

type phase uint8

const (
	repairing    phase = iota + 1 // saves its own state in place of a broken log
	preparing                     // asks the witnesses for their promise
	transferring                  // gives the state to the copies to be
	accepting                     // asks the witnesses to accept its proposal
	finishing                     // asks them to accept a proposal that was begun before
	installing                    // tells new witnesses of the chosen view
)

// viewChange is a change under way. Replies are matched by epoch and ballot.
type viewChange struct {
	base       View // the view to be followed
	ballot     Ballot
	startedAt  time.Duration
	wasPrimary bool
	phase      phase
	deadline   time.Duration // of the phase
	sentAt     time.Duration

	ballotSynced    bool       // the ballot is on the disk of this member
	granted         []MemberID // witnesses that granted the phase's question
	rejected        []MemberID // witnesses that refused it
	earlierProposal *View      // an earlier proposal
	earlierBallot   Ballot

	streams              []*stateStream
	transfers            []transfer // under way
	offered              []Member   // all that were offered the state
	ready                []Member   // that have it
	waitedForLateReplies bool
	lateRepliesUntil     time.Duration // while others may still answer

	proposal View
}

func (v *viewChange) epoch() Epoch { return v.base.Epoch + 1 }

func (v *viewChange) tag() StateTag {
	return StateTag{Epoch: v.epoch(), Ballot: v.ballot}
}

// quorum is how many witnesses must grant: all to prepare the first view (see firstBase), else a majority.
func (v *viewChange) quorum() int {
	if v.base.Epoch == 0 && v.phase == preparing {
		return len(v.base.Witnesses)
	}
	return majority(len(v.electorate()))
}

// electorate are the witnesses that the phase asks.
func (v *viewChange) electorate() []Member {
	if v.phase == installing {
		return v.proposal.Witnesses
	}
	return v.base.Witnesses
}

// grant counts a witness once.
func (v *viewChange) recordGrant(id MemberID) {
	if indexOf(v.electorate(), id) >= 0 && !slices.Contains(v.granted, id) {
		v.granted = append(v.granted, id)
	}
}

// refuse counts a refusal and tells whether the quorum is out of reach.
func (v *viewChange) recordRejection(from Member) (hopeless bool) {
	i := slices.IndexFunc(v.electorate(), func(m Member) bool { return m.ID == from.ID || m.Address == from.Address })
	if i >= 0 && !slices.Contains(v.rejected, v.electorate()[i].ID) {
		v.rejected = append(v.rejected, v.electorate()[i].ID)
	}
	return len(v.electorate())-len(v.rejected) < v.quorum()
}

// enter begins a phase.
func (c *Core) enterPhase(p phase) {
	change := c.change
	change.phase = p
	change.granted = nil
	change.rejected = nil
	change.deadline = c.now + c.timing.ReplyTimeout
	c.sendPhaseRequests()
}

// askWitnesses sends the phase's question to those that did not answer yet.
func (c *Core) sendPhaseRequests() {
	change := c.change
	change.sentAt = c.now
	for _, witness := range change.electorate() {
		if slices.Contains(change.granted, witness.ID) || slices.Contains(change.rejected, witness.ID) {
			continue
		}
		to := c.envelopeTo(witness)
		switch change.phase {
		case preparing:
			c.send(Prepare{Envelope: to, Base: change.base, Ballot: change.ballot})
		case accepting:
			c.send(Accept{Envelope: to, Base: change.base, Ballot: change.ballot, Proposal: change.proposal})
		case finishing:
			c.send(Accept{Envelope: to, Base: change.base, Ballot: change.ballot, Proposal: *change.earlierProposal})
		case installing:
			c.send(Install{Envelope: to, View: change.proposal})
		}
	}
}

// startViewChange begins the change from a view to the next one.
func (c *Core) startViewChange(base *View) {
	c.change = &viewChange{base: *base.Clone(), startedAt: c.now, wasPrimary: c.isPrimary, phase: repairing}
	c.viewChangeDue = false
	c.confirm.abandonRound()
	// Invariant: a copy that proposes takes no append of the old view any more. So what is acknowledged after this moment is held here already.
	c.state.joined = StateTag{}
	if c.state.logBroken {
		c.change.deadline = c.now + c.timing.SnapshotTimeout
		c.saveSnapshot(diskJob{kind: repairJob}, c.snapshot(), c.state.tail)
		return
	}
	c.prepare()
}

// repairDone goes on once the own state is on disk, whole.
func (c *Core) repairDone(err error) {
	if err == nil {
		c.state.logBroken = false
		c.state.logBytes = 0
	}
	if c.change == nil || c.change.phase != repairing {
		return
	}
	if err != nil {
		view := c.register.View
		c.failViewChange("own disk failed")
		c.startYielding(view)
		return
	}
	c.prepare()
}

func (c *Core) prepare() {
	change := c.change
	c.lastRound = max(c.lastRound, ballotRound(c.register.Promised)) + 1
	change.ballot = ballotOf(c.lastRound, c.self.ID)
	// Invariant: no two lives of a member use one ballot. The ballot is promised on the own disk before anything is offered under it, also if this member is no witness.
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

// onPrepareReply counts a promise. An answer beyond the quorum's still tells of a member that lives.
func (c *Core) onPrepareReply(m PrepareReply) {
	if m.From.ID != c.self.ID {
		c.recordStatus(m.From, m.Status)
	}
	c.learn(m.View)
	change := c.change
	if change == nil || change.phase == repairing || m.Epoch != change.epoch() || m.Ballot != change.ballot {
		return
	}
	if change.phase == transferring {
		c.continueTransfers()
		return
	}
	if change.phase != preparing {
		return
	}
	if m.Rejection != Granted {
		c.witnessRejected(m.From, m.Rejection, m.Promised)
		return
	}
	if m.Accepted != nil && (change.earlierProposal == nil || m.AcceptedBallot > change.earlierBallot) {
		change.earlierProposal = m.Accepted.Clone()
		change.earlierBallot = m.AcceptedBallot
	}
	change.recordGrant(m.From.ID)
	c.considerPrepared()
}

// witnessRefused ends a change whose quorum is out of reach.
func (c *Core) witnessRejected(from Member, reason Rejection, promised Ballot) {
	if reason == HigherPromise {
		c.lastRound = max(c.lastRound, ballotRound(promised))
	}
	if c.change.recordRejection(from) {
		c.failViewChange("rejected by the witnesses: " + reason.String())
	}
}

func (c *Core) hasQuorum() bool {
	return len(c.change.granted) >= c.change.quorum()
}

// considerPrepared goes on once a quorum has promised and the own promise is synced.
func (c *Core) considerPrepared() {
	change := c.change
	if change.phase != preparing || !change.ballotSynced || !c.hasQuorum() {
		return
	}
	if change.earlierProposal != nil {
		c.enterPhase(finishing) // somebody was here before: its choice is finished first
		return
	}
	change.phase = transferring
	change.deadline = 0
	c.continueTransfers()
}

// propose asks the witnesses to accept the view with the copies that have the state.
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

func (c *Core) onAcceptReply(m AcceptReply) {
	c.learn(m.View)
	change := c.change
	if change == nil || m.Epoch != change.epoch() || m.Ballot != change.ballot {
		return
	}
	if change.phase != accepting && change.phase != finishing {
		return
	}
	if m.Rejection != Granted {
		c.witnessRejected(m.From, m.Rejection, m.Promised)
		return
	}
	change.recordGrant(m.From.ID)
	if !c.hasQuorum() {
		return
	}
	if change.phase == finishing {
		c.earlierProposalFinished()
		return
	}
	c.proposalChosen()
}

// finished ends the change that only completed an earlier proposal.
//
// Invariant: one primary writes in a view, and only the member that proposed it, in that life. Nobody becomes primary here, also if the earlier proposal names this member.
func (c *Core) earlierProposalFinished() {
	found := c.change.earlierProposal
	c.failViewChange("completed an earlier proposal")
	c.learn(found)
	if p := c.peer(found.Primary.ID); p == nil || c.now-p.lastSeen > c.timing.PrimaryTimeout {
		c.retryAfter = c.now // it was lost on the way
	}
}

// chosen takes the view that a majority of the old witnesses accepted.
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

// onInstallReply counts the new witnesses that have the view on disk.
//
// Invariant: a moved set of witnesses counts only once a majority of it stores the view, so that whoever asks a majority of it hears of the view.
func (c *Core) onInstallReply(m InstallReply) {
	c.learn(m.View)
	change := c.change
	if change == nil || change.phase != installing || m.Epoch != change.epoch() || m.Ballot != change.ballot {
		return
	}
	if m.Rejection != Granted {
		c.witnessRejected(m.From, m.Rejection, 0)
		return
	}
	change.recordGrant(m.From.ID)
	if c.hasQuorum() {
		c.becomePrimary()
	}
}

// becomePrimary begins the writing in the own view.
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

// failViewChange gives up. A primary that could not make the view it needed stops.
func (c *Core) failViewChange(reason string) {
	change := c.change
	c.change = nil
	c.retryAfter = c.now + c.viewChangeBackoff()
	c.log(slog.LevelInfo, "view change failed", slog.String("reason", reason), slog.Uint64("epoch", uint64(change.epoch())))
	if change.wasPrimary {
		c.stopBeingPrimary(ViewChangeFailed)
		return
	}
	c.retryAfter += c.timing.HeartbeatInterval // not again at once
}

// witnessesSilent gives up for want of answers. A primary asks its backups to take over: its way out may work though it hears nobody. A member that heard nobody at all tries no more until it hears somebody.
func (c *Core) witnessesTimedOut() {
	change := c.change
	view := c.register.View
	wasActive := c.isPrimary
	c.failViewChange("no reply from a majority of the witnesses")
	if wasActive {
		c.startYielding(view)
	}
	if len(change.base.Witnesses) > 1 && !c.hadContactSince(change.startedAt) {
		c.isolatedSince = change.startedAt
	}
}

// tickViewChange repeats what was not answered and gives up in the end.
func (c *Core) tickViewChange() {
	change := c.change
	if change == nil {
		return
	}
	if change.phase == transferring {
		c.tickTransfers()
		return
	}
	if c.now >= change.deadline {
		c.witnessesTimedOut()
		return
	}
	if change.phase != repairing && c.now-change.sentAt >= c.timing.ResendInterval {
		c.sendPhaseRequests()
	}
}
