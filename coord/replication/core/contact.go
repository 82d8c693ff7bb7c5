package core

import (
	"log/slog"
	"time"
)

// contactTimeout is how long ago a majority of the witnesses may have replied last.
func (c *Core) contactTimeout() time.Duration {
	return c.timing.PrimaryTimeout + c.timing.HeartbeatInterval
}

// hasWitnessContact reports whether a majority of the view's witnesses, this member included, replied within contactTimeout.
func (c *Core) hasWitnessContact() bool {
	view := c.register.View
	inContact := 0
	for _, witness := range view.Witnesses {
		p := c.peer(witness.ID)
		if witness.ID == c.self.ID || p != nil && c.now-p.lastReplyAt <= c.contactTimeout() {
			inContact++
		}
	}
	return inContact >= majority(len(view.Witnesses))
}

// advanceClock is called first in each Step.
//
// Invariant: a process that was paused does not act on what it knew before. A primary without a reply of a majority of the witnesses for contactTimeout gives no definite result and starts no command until a round of confirmation, begun from now on, has ended.
func (c *Core) advanceClock(now time.Duration) {
	slept := now - c.now
	c.now = max(now, c.now)
	if !c.isPrimary || c.hasWitnessContact() {
		return
	}
	if slept > c.timing.PrimaryTimeout {
		c.confirm.confirmBy = c.now + c.timing.ReplyTimeout
	}
	c.confirm.requireRound()
}

// stopBeingPrimary makes this member step down, if it is primary. A command with an entry written ends Indeterminate.
func (c *Core) stopBeingPrimary(reason StopReason) {
	if !c.isPrimary {
		return
	}
	c.isPrimary = false
	c.lastPrimaryContact = c.now
	c.lastPrimary = Member{}
	c.viewChangeDue = false
	c.log(slog.LevelWarn, "stepped down as primary", slog.String("reason", reason.String()))
	c.emit(SteppedDown{Reason: reason})
	c.failPendingCalls()
}
