package core

import "time"

// NextWake is when the core must be ticked next at the latest, on the clock of Step. It changes with every Step. While anything is pending it is Timing.TickInterval after the last tick, else as late as the heartbeats allow.
func (c *Core) NextWake(lastTick time.Duration) time.Duration {
	next := lastTick + c.timing.TickInterval
	if c.hasPendingWork() {
		return next
	}
	if c.isPrimary {
		return max(next, c.lastHeartbeat+c.timing.HeartbeatInterval)
	}
	return max(next, c.lastPrimaryContact+c.primarySilenceLimit())
}

// hasPendingWork reports whether anything is pending that waits for time to pass.
func (c *Core) hasPendingWork() bool {
	if c.register.View == nil || len(c.peers) == 0 || c.change != nil || c.yielding != nil || c.viewChangeDue {
		return true
	}
	if c.leaving != nil && !c.leaving.done {
		return true
	}
	return c.hasPendingCalls()
}

func (c *Core) hasPendingCalls() bool {
	if len(c.commands) > 0 || c.write != nil {
		return true
	}
	return c.confirm.running || c.confirm.required || len(c.confirm.queued) > 0
}

// primarySilenceLimit is how long there may be no contact with the primary before this member acts on it.
func (c *Core) primarySilenceLimit() time.Duration {
	roles := rolesOf(c.register.View, c.self.ID)
	switch {
	case roles&RolePrimary != 0:
		return c.timing.HeartbeatInterval
	case roles&RoleBackup != 0:
		return c.timing.PrimaryTimeout / 2
	}
	return c.timing.PrimaryTimeout
}
