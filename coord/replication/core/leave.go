package core

import (
	"log/slog"
	"time"
)

// leaving is a graceful shutdown in progress. The member still acknowledges appends, promises and accepts until it has left, but it gets new roles only if no other member is available.
type leaving struct {
	deadline    time.Duration
	handingOver bool // it is primary and takes no more commands
	sentAt      time.Duration
	done        bool
}

// yielding asks the backups in turn to take over, until one will.
type yielding struct {
	view   View
	next   int
	sentAt time.Duration
}

func (c *Core) startLeaving(event Leave) {
	if c.leaving != nil {
		return
	}
	c.leaving = &leaving{deadline: event.Deadline, sentAt: never}
	c.log(slog.LevelInfo, "leaving the group")
	c.tickLeaving()
}

// tickLeaving continues until no role is left, or the deadline is near. Only the primary can say that none is left: it knows the newest view, and gives no new role to a member that it knows to be leaving.
func (c *Core) tickLeaving() {
	l := c.leaving
	if l == nil || l.done {
		return
	}
	if c.config.Relay {
		c.finishLeaving(true, 0)
		return
	}
	if c.now >= l.deadline-c.timing.LeaveMargin {
		c.finishLeaving(false, rolesOf(c.register.View, c.self.ID))
		return
	}
	if c.isPrimary {
		c.handOver()
		return
	}
	if c.now-l.sentAt >= c.timing.ResendInterval {
		c.sendLeaveRequest()
	}
}

func (c *Core) finishLeaving(complete bool, roles Role) {
	c.leaving.done = true
	c.emit(Left{Complete: complete, Roles: roles})
}

// handOver lets a backup take over once the pending write has ended. A primary without a backup that stays goes on serving.
func (c *Core) handOver() {
	view := c.register.View
	if c.change != nil || !c.hasSuccessor(view) {
		return
	}
	c.leaving.handingOver = true
	if c.write != nil {
		return
	}
	c.stopBeingPrimary(HandedOver)
	c.startYielding(view)
}

func (c *Core) hasSuccessor(view *View) bool {
	for _, backup := range view.Backups {
		p := c.peer(backup.ID)
		if p != nil && c.isResponsive(*p) && p.status.Writable && !p.status.Leaving {
			return true
		}
	}
	return false
}

// sendLeaveRequest asks the primary for a view without this member, or looks for the primary.
func (c *Core) sendLeaveRequest() {
	c.leaving.sentAt = c.now
	primary, known := c.Primary(c.now)
	if !known {
		c.sendHello()
		return
	}
	c.send(LeaveRequest{Envelope: c.envelopeTo(primary), Status: c.status()})
}

// onLeaveRequest starts a view change without the sender, if a replacement is available.
func (c *Core) onLeaveRequest(m LeaveRequest) {
	c.recordStatus(m.From, m.Status)
	reply := LeaveRequestReply{Envelope: c.replyTo(m), View: c.View()}
	if !c.isPrimary {
		reply.Rejection = NotPrimary
		c.send(reply)
		return
	}
	view := c.register.View
	if c.change != nil { // the next view may name the sender
		reply.Rejection = Busy
		c.send(reply)
		return
	}
	if rolesOf(view, m.From.ID) != 0 {
		reply.Rejection = Busy
		if !c.canImprove(view) && c.nextWitnesses(view) == nil {
			reply.Rejection = NoReplacement
		} else {
			c.viewChangeDue = true
		}
	}
	c.send(reply)
	c.considerViewChange()
}

// onLeaveRequestReply ends the leaving once the primary, which knows of it, has a view without this member.
func (c *Core) onLeaveRequestReply(m LeaveRequestReply) {
	c.learn(m.View)
	l := c.leaving
	if l == nil || l.done || m.Rejection != Granted || m.View == nil || m.View.Epoch != c.knownEpoch() {
		return
	}
	if rolesOf(c.register.View, c.self.ID) == 0 {
		c.finishLeaving(true, 0)
	}
}

// startYielding starts to ask the backups of a view to take over.
func (c *Core) startYielding(view *View) {
	if view == nil || c.isPrimary {
		return
	}
	c.yielding = &yielding{view: *view.Clone()}
	c.sendYield()
}

// sendYield asks the next backup.
func (c *Core) sendYield() {
	y := c.yielding
	if y.next >= len(y.view.Backups) || c.knownEpoch() > y.view.Epoch {
		c.yielding = nil
		return
	}
	y.sentAt = c.now
	c.send(Yield{Envelope: c.envelopeTo(y.view.Backups[y.next]), Epoch: y.view.Epoch, Ballot: y.view.Ballot})
	y.next++
}

func (c *Core) tickYield() {
	if c.yielding != nil && c.now-c.yielding.sentAt >= c.timing.ReplyTimeout {
		c.sendYield()
	}
}

// onYield takes over at once, if this member may lead.
func (c *Core) onYield(m Yield) {
	reply := YieldReply{Envelope: c.replyTo(m), Epoch: m.Epoch, Rejection: c.checkYield(m)}
	c.send(reply)
	if reply.Rejection != Granted {
		return
	}
	c.viewChangeDue = true
	c.retryAfter = c.now
	c.considerViewChange()
}

func (c *Core) checkYield(m Yield) Rejection {
	view := c.register.View
	switch {
	case view == nil || view.Tag() != StateTag{Epoch: m.Epoch, Ballot: m.Ballot}:
		return UnknownView
	case c.disk.stalled || c.leaving != nil:
		return Unavailable
	case !c.mayLead(view):
		return NotJoined
	}
	return Granted
}

func (c *Core) onYieldReply(m YieldReply) {
	y := c.yielding
	if y == nil || m.Epoch != y.view.Epoch {
		return
	}
	if m.Rejection == Granted {
		c.yielding = nil
		return
	}
	c.sendYield()
}
