package core

import (
	"log/slog"
)

// tickPrimary sends the heartbeats and checks the view, or steps down for want of contact.
func (c *Core) tickPrimary() {
	if !c.isPrimary {
		return
	}
	if c.confirm.required && c.now >= c.confirm.confirmBy {
		view := c.register.View
		c.stopBeingPrimary(LostWitnesses)
		c.startYielding(view) // its messages may arrive though it receives none
		return
	}
	if c.now-c.lastHeartbeat < c.timing.HeartbeatInterval {
		return
	}
	c.heartbeat()
	if c.change == nil {
		c.checkView()
	}
}

// memberListInterval is the number of heartbeats of which one lists the members: with N members the lists are N times N entries. A member that has just come gets its list with the answer to its Hello.
const memberListInterval = 8

func (c *Core) heartbeat() {
	c.lastHeartbeat = c.now
	var members []Member
	if (c.now/c.timing.HeartbeatInterval)%memberListInterval == 0 {
		members = c.contactedMembers()
	}
	for _, p := range c.peers {
		c.heartbeatTo(p.member, members)
	}
}

// heartbeatTo sends a heartbeat; members may be nil.
func (c *Core) heartbeatTo(member Member, members []Member) {
	c.send(Heartbeat{Envelope: c.envelopeTo(member), View: c.View(), Members: members})
}

// checkView makes a view change due if a backup failed, or members are available that improve the view.
func (c *Core) checkView() {
	view := c.register.View
	if c.hasLostBackup(view) || c.canImprove(view) || c.nextWitnesses(view) != nil {
		c.viewChangeDue = true
		return
	}
	c.warnOfLowTolerance(view)
}

func (c *Core) hasLostBackup(view *View) bool {
	for _, backup := range view.Backups {
		p := c.peer(backup.ID)
		if p == nil || c.now-p.lastReplyAt > c.timing.PrimaryTimeout || !p.status.Writable {
			return true
		}
	}
	return false
}

// warnOfLowTolerance logs once in an epoch that the view tolerates fewer failures than configured, and no member is available that could repair it.
func (c *Core) warnOfLowTolerance(view *View) {
	if c.toleranceWarnedEpoch == view.Epoch || c.now-c.startedAt <= c.timing.WitnessTimeout {
		return
	}
	tolerated := failuresTolerated(view)
	if tolerated >= c.config.MaxFailures {
		return
	}
	c.toleranceWarnedEpoch = view.Epoch
	c.log(slog.LevelWarn, "fault tolerance below configuration", slog.Int("tolerated", tolerated), slog.Int("configured", c.config.MaxFailures), slog.Int("members", 1+len(c.peers)))
}

func (c *Core) onHeartbeat(m Heartbeat) {
	if m.View == nil {
		return
	}
	if p := c.recordContact(m.From); p != nil {
		p.status.Writable = true // a primary's disk takes writes
	}
	c.learn(m.View)
	c.addKnownMembers(m.Members)
	if c.knownEpoch() == m.View.Epoch {
		c.lastPrimaryContact = c.now
		c.lastPrimary = m.From
	}
	c.send(HeartbeatReply{
		Envelope: c.replyTo(m),
		Epoch:    m.View.Epoch,
		Joined:   c.state.joined == m.View.Tag(),
		Status:   c.status(),
		View:     c.viewNewerThan(m.View.Epoch),
	})
}

func (c *Core) onHeartbeatReply(m HeartbeatReply) {
	c.recordStatus(m.From, m.Status)
	c.learn(m.View)
	if !c.isPrimary || c.primaryEpoch != m.Epoch || m.Joined {
		return
	}
	if indexOf(c.register.View.Backups, m.From.ID) >= 0 {
		c.viewChangeDue = true // it was restarted, or sealed by a proposer
	}
}
