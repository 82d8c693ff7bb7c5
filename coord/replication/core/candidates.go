package core

import (
	"cmp"
	"slices"
)

// writableMembers are the other members that are responsive, whose disks take writes, and that are not leaving.
func (c *Core) writableMembers() []Member {
	var members []Member
	for _, p := range c.peers {
		if c.isResponsive(p) && p.status.Writable && !p.status.Leaving {
			members = append(members, p.member)
		}
	}
	return members
}

// writableButLeaving are the leaving ones, which take a role only if no other member is available.
func (c *Core) writableButLeaving() []Member {
	var members []Member
	for _, p := range c.peers {
		if c.isResponsive(p) && p.status.Writable && p.status.Leaving {
			members = append(members, p.member)
		}
	}
	return members
}

func (c *Core) isResponsive(p peer) bool { return c.now-p.lastReplyAt < c.timing.PrimaryTimeout }

// spareMembers are the writable members that are no replicas and have not rejected a transfer lately.
func (c *Core) spareMembers(view *View) []Member {
	return slices.DeleteFunc(c.writableMembers(), func(m Member) bool {
		return c.rejectedTransferLately(m) || indexOf(view.Replicas(), m.ID) >= 0
	})
}

func (c *Core) rejectedTransferLately(m Member) bool {
	p := c.peer(m.ID)
	return p != nil && c.now < p.noTransferBefore
}

func (c *Core) isLeaving(m Member) bool {
	if m.ID == c.self.ID {
		return c.leaving != nil
	}
	p := c.peer(m.ID)
	return p != nil && p.status.Leaving
}

// nextCandidate picks the member to transfer the state to next: the lowest penalty first, then the least used failure domain, then the old replicas, the witnesses and the others. Leaving members come last, when no other is available.
func (c *Core) nextCandidate(base *View, asked, placed []Member) (Member, bool) {
	notAsked := func(members []Member) []Member {
		return slices.DeleteFunc(members, func(m Member) bool { return indexOf(asked, m.ID) >= 0 })
	}
	members := notAsked(c.writableMembers())
	if len(members) == 0 {
		members = notAsked(c.writableButLeaving())
	}
	if len(members) == 0 {
		return Member{}, false
	}
	perDomain := c.countPerDomain(placed)
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(c.penalty(a), c.penalty(b)),
			cmp.Compare(perDomain[c.failureDomain(a)], perDomain[c.failureDomain(b)]),
			cmp.Compare(roleDistance(base, a), roleDistance(base, b)),
			cmp.Compare(a.ID, b.ID))
	}), true
}

// penalty puts last those that did not reply lately or rejected a transfer, and the primary that this member takes over from, unless it has replied since.
func (c *Core) penalty(m Member) int {
	p := c.peer(m.ID)
	if p == nil {
		return 1
	}
	change := c.change
	silent := m.ID == change.base.Primary.ID && p.lastReplyAt < change.startedAt
	if p.missedWrite || silent || c.rejectedTransferLately(m) {
		return 1
	}
	return 0
}

func roleDistance(base *View, m Member) int {
	switch {
	case indexOf(base.Replicas(), m.ID) >= 0:
		return 0
	case indexOf(base.Witnesses, m.ID) >= 0:
		return 1
	}
	return 2
}
