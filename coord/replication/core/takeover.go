package core

import "time"

// mayLead reports whether this member may propose the view after a known one.
//
// Invariant: only a replica whose state covers the view may propose. The state must have been given under the view's proposal and be no shorter than its base, or under a later proposal for the same epoch: then no entry was committed in the view, and that state holds all that was committed before, too, though it may be shorter than the base.
func (c *Core) mayLead(view *View) bool {
	roles := rolesOf(view, c.self.ID)
	tag := c.state.tag
	behind := c.state.position.Index < view.Base.Index
	switch {
	case c.config.Relay || roles&(RolePrimary|RoleBackup) == 0:
		return false
	case tag.Epoch == view.Epoch && tag.Ballot > view.Ballot, tag.Epoch > view.Epoch:
		return true
	case roles&RolePrimary != 0: // it proposed the view with its own state, under an older tag
		return !behind
	}
	return tag == view.Tag() && !behind
}

// considerViewChange starts a view change if one is due.
func (c *Core) considerViewChange() {
	if !c.hadContactSince(c.isolatedSince) && c.isolatedSince != never {
		return // its ballots would only delay members that are in contact with each other
	}
	if c.change != nil || c.config.Relay || c.disk.stalled || c.disk.changesState() || c.now < c.retryAfter {
		return
	}
	view := c.register.View
	if view == nil {
		if base, ok := c.bootstrapBase(); ok {
			c.startViewChange(base)
		}
		return
	}
	if c.isPrimary {
		if c.viewChangeDue {
			c.startViewChange(view)
		}
		return
	}
	if c.mayLead(view) && c.isTakeOverDue(view) {
		c.startViewChange(view)
	}
}

// isTakeOverDue reports whether a member that is not the primary should take over now.
func (c *Core) isTakeOverDue(view *View) bool {
	silence := c.now - c.lastPrimaryContact
	rank := indexOf(view.Backups, c.self.ID)
	due := c.timing.PrimaryTimeout + time.Duration(max(rank, 0))*c.timing.RankDelay
	if c.leaving != nil { // only if no other backup does
		return silence > due+time.Duration(len(view.Backups)+1)*c.timing.RankDelay
	}
	if rank < 0 { // the view's own primary, that was restarted or stepped down
		return silence > c.timing.HeartbeatInterval
	}
	if c.viewChangeDue {
		return true
	}
	if silence <= due {
		return false
	}
	return rank == 0 || c.now-c.lastPromiseAt > c.timing.RankDelay
}

// viewChangeBackoff is the pause between two attempts, spread by the member's id so that two candidates don't collide again and again.
func (c *Core) viewChangeBackoff() time.Duration {
	return c.timing.ViewChangeBackoff + time.Duration(c.self.ID%8)*c.timing.ViewChangeBackoff/6
}
