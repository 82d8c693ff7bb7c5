package core

import (
	"log/slog"
	"slices"
	"time"
)

// A view change is run by the member that is to be the primary of the next view: seal, prepare at the witnesses, transfer the state to the future replicas, accept at a majority of the witnesses, install at a majority of the new witnesses if they changed.

type phase uint8

const (
	repairing    phase = iota + 1 // saves its own state as a snapshot in place of a broken log
	preparing                     // asks the witnesses for their promise
	transferring                  // transfers the state to the future replicas
	accepting                     // asks the witnesses to accept its proposal
	finishing                     // asks them to accept a proposal that was begun before
	installing                    // tells new witnesses of the chosen view
)

// viewChange is a view change in progress. Replies are matched by epoch and ballot.
type viewChange struct {
	base       View // the view before
	ballot     Ballot
	startedAt  time.Duration
	wasPrimary bool
	phase      phase
	deadline   time.Duration // of the phase
	sentAt     time.Duration

	ballotSynced    bool       // the ballot is on the disk of this member
	granted         []MemberID // witnesses that granted the phase's question
	rejected        []MemberID // witnesses that rejected it
	earlierProposal *View      // accepted by a witness under the highest ballot found
	earlierBallot   Ballot

	streams              []*stateStream
	transfers            []transfer // under way
	offered              []Member   // all that the state was offered to
	ready                []Member   // that have it on disk
	waitedForLateReplies bool
	lateRepliesUntil     time.Duration // while late replies are awaited

	proposal View
}

func (v *viewChange) epoch() Epoch { return v.base.Epoch + 1 }

func (v *viewChange) tag() StateTag {
	return StateTag{Epoch: v.epoch(), Ballot: v.ballot}
}

// enterPhase begins a phase.
func (c *Core) enterPhase(p phase) {
	change := c.change
	change.phase = p
	change.granted = nil
	change.rejected = nil
	change.deadline = c.now + c.timing.ReplyTimeout
	c.sendPhaseRequests()
}

// sendPhaseRequests sends the phase's request to the witnesses that did not reply yet.
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

// startViewChange starts the change from a view to the next one.
func (c *Core) startViewChange(base *View) {
	c.change = &viewChange{base: *base.Clone(), startedAt: c.now, wasPrimary: c.isPrimary, phase: repairing}
	c.viewChangeDue = false
	c.confirm.abandonRound()
	// Invariant: a replica that proposes takes no append of the old view any more. So what is acknowledged after this moment is here already.
	c.state.joined = StateTag{}
	if c.state.logBroken {
		c.change.deadline = c.now + c.timing.SnapshotTimeout
		c.saveSnapshot(diskJob{kind: repairJob}, c.snapshot(), c.state.tail)
		return
	}
	c.prepare()
}

// repairDone continues once the own state is on disk as a snapshot.
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

// failViewChange ends a view change without a view. A primary that needed it steps down.
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

// witnessesTimedOut ends a view change for want of replies. A primary asks its backups to take over: its messages may arrive though it receives none. A member that received nothing at all attempts no other until it does.
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

// tickViewChange repeats requests without reply, and gives up after the phase's time-out.
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
