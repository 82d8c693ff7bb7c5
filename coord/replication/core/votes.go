package core

import (
	"slices"
)

// quorum is how many witnesses must grant: all to prepare the first view (see bootstrapBase), else a majority.
func (v *viewChange) quorum() int {
	if v.base.Epoch == 0 && v.phase == preparing {
		return len(v.base.Witnesses)
	}
	return majority(len(v.electorate()))
}

// electorate is the witnesses that vote in the phase.
func (v *viewChange) electorate() []Member {
	if v.phase == installing {
		return v.proposal.Witnesses
	}
	return v.base.Witnesses
}

// recordGrant counts the vote of a witness, once however often its reply arrives.
func (v *viewChange) recordGrant(id MemberID) {
	if indexOf(v.electorate(), id) >= 0 && !slices.Contains(v.granted, id) {
		v.granted = append(v.granted, id)
	}
}

// recordRejection counts a rejection and reports whether the quorum is out of reach. Another disk at a witness's address rejects in its place.
func (v *viewChange) recordRejection(from Member) (outOfReach bool) {
	i := slices.IndexFunc(v.electorate(), func(m Member) bool { return m.ID == from.ID || m.Address == from.Address })
	if i >= 0 && !slices.Contains(v.rejected, v.electorate()[i].ID) {
		v.rejected = append(v.rejected, v.electorate()[i].ID)
	}
	return len(v.electorate())-len(v.rejected) < v.quorum()
}

// onPrepareReply counts a promise. One that comes after the quorum still shows a member that is alive and may become a replica.
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

// witnessRejected handles a rejection, and ends the view change if its quorum is out of reach.
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

// onInstallReply counts a new witness that has the view on disk.
//
// Invariant: a moved set of witnesses counts only once a majority of it stores the view, so that whoever asks a majority of it learns the view.
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
