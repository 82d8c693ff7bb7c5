package core

import (
	"cmp"
	"slices"
)

// What must be borne: with f losses, f+1 copies and 2f+1 witnesses. Whoever reaches most of the witnesses reaches f+1 members with disks, so a view at its tolerance never needs fewer copies.

func indexOf(members []Member, id MemberID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func majority(n int) int { return n/2 + 1 }

// rolesOf tells what a member is in a view.
func rolesOf(view *View, id MemberID) Role {
	var roles Role
	if view == nil {
		return roles
	}
	if view.Primary.ID == id {
		roles |= RolePrimary
	}
	if indexOf(view.Backups, id) >= 0 {
		roles |= RoleBackup
	}
	if indexOf(view.Witnesses, id) >= 0 {
		roles |= RoleWitness
	}
	return roles
}

// lossesBorne is the number of members that may be lost at once under a view.
func failuresTolerated(view *View) int {
	if view == nil {
		return 0
	}
	return min(len(view.Backups), max(0, len(view.Witnesses)-1)/2)
}

// copiesWanted is how many copies a view should have. With nothing to bear, a backup is kept where one is to be had.
func (c *Core) targetReplicas() int { return max(c.config.MaxFailures, 1) + 1 }

// fewestCopies is the number below which no view is made: what its witnesses bear, and one more.
func (c *Core) minReplicas(base *View) int {
	if c.config.MaxFailures == 0 {
		return 1
	}
	return max(2, (len(base.Witnesses)-1)/2+1)
}

func (c *Core) targetWitnesses() int { return 2*max(c.config.MaxFailures, 1) + 1 }

// fit are the other members that answered lately, whose disks take writes, and that want to stay.
func (c *Core) writableMembers() []Member {
	var members []Member
	for _, p := range c.peers {
		if c.isResponsive(p) && p.status.Writable && !p.status.Leaving {
			members = append(members, p.member)
		}
	}
	return members
}

// fitButLeaving are those that are taken only if nobody else is to be had.
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

// spare are the fit members that are no copies and have not refused to be one lately.
func (c *Core) spareMembers(view *View) []Member {
	return slices.DeleteFunc(c.writableMembers(), func(m Member) bool {
		return c.rejectedTransferLately(m) || indexOf(view.Replicas(), m.ID) >= 0
	})
}

func (c *Core) rejectedTransferLately(m Member) bool {
	p := c.peer(m.ID)
	return p != nil && c.now < p.noTransferBefore
}

// short tells whether the view has fewer copies or witnesses than wanted, has them in too few areas, or has one that wants to leave, while others are to be had.
func (c *Core) canImprove(view *View) bool {
	if len(view.Replicas()) < c.targetReplicas() && len(c.spareMembers(view)) > 0 {
		return true
	}
	return c.isConcentrated(view) || c.hasLeavingBackup(view) || c.withMoreWitnesses(view) != nil || c.withSpreadWitnesses(view) != nil
}

// narrow tells whether the copies lie in so few areas that these may all be lost, while a member elsewhere could be one.
func (c *Core) isConcentrated(view *View) bool {
	perDomain := c.countPerDomain(view.Replicas())
	if len(perDomain) > c.config.MaxDomainFailures {
		return false
	}
	return slices.ContainsFunc(c.spareMembers(view), func(m Member) bool { return perDomain[c.failureDomain(m)] == 0 })
}

// leavingBackup tells whether a backup that wants to leave can be replaced, or is more than is wanted.
func (c *Core) hasLeavingBackup(view *View) bool {
	leaves := slices.ContainsFunc(view.Backups, func(m Member) bool { return c.isLeaving(m) })
	if !leaves {
		return false
	}
	return len(c.spareMembers(view)) > 0 || len(view.Replicas()) > c.targetReplicas()
}

func (c *Core) isLeaving(m Member) bool {
	if m.ID == c.self.ID {
		return c.leaving != nil
	}
	p := c.peer(m.ID)
	return p != nil && p.status.Leaving
}

func (c *Core) failureDomain(m Member) string {
	if c.config.FailureDomain == nil {
		return m.Zone
	}
	return c.config.FailureDomain(m.Zone)
}

func (c *Core) countPerDomain(members []Member) map[string]int {
	perDomain := map[string]int{}
	for _, m := range members {
		perDomain[c.failureDomain(m)]++
	}
	return perDomain
}

// learners are the fit members, this one too, that are no witnesses.
func (c *Core) learners(view *View) []Member {
	members := c.writableMembers()
	if c.leaving == nil && !c.disk.stalled {
		members = append(members, c.self)
	}
	return slices.DeleteFunc(members, func(m Member) bool { return indexOf(view.Witnesses, m.ID) >= 0 })
}

// emptiest is the member whose area holds the fewest of those placed.
func (c *Core) inSmallestDomain(members []Member, perDomain map[string]int) Member {
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(perDomain[c.failureDomain(a)], perDomain[c.failureDomain(b)]), cmp.Compare(a.ID, b.ID))
	})
}

func without(members []Member, id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

func replaced(members []Member, i int, m Member) []Member {
	members = slices.Clone(members)
	members[i] = m
	return members
}

// grown gives the witnesses with learners added while there are fewer than wanted, nil if nothing is to be added. An odd number stays odd: one more would bear no more losses.
func (c *Core) withMoreWitnesses(view *View) []Member {
	added := 1 + len(view.Witnesses)%2
	free := c.learners(view)
	if len(view.Witnesses) >= c.targetWitnesses() || len(free) < added {
		return nil
	}
	witnesses := slices.Clone(view.Witnesses)
	perDomain := c.countPerDomain(witnesses)
	for range added {
		m := c.inSmallestDomain(free, perDomain)
		free = without(free, m.ID)
		perDomain[c.failureDomain(m)]++
		witnesses = append(witnesses, m)
	}
	return witnesses
}

// spread gives the witnesses with one moved out of an area that holds too many, nil if all is well or nobody is elsewhere.
func (c *Core) withSpreadWitnesses(view *View) []Member {
	free := c.learners(view)
	if c.config.MaxDomainFailures == 0 || len(free) == 0 {
		return nil
	}
	perDomain := c.countPerDomain(view.Witnesses)
	maxPerDomain := max(1, c.config.MaxFailures/c.config.MaxDomainFailures)
	m := c.inSmallestDomain(free, perDomain)
	if perDomain[c.failureDomain(m)] >= maxPerDomain {
		return nil
	}
	for i, witness := range view.Witnesses {
		if perDomain[c.failureDomain(witness)] > maxPerDomain && witness.ID != c.self.ID {
			return replaced(view.Witnesses, i, m)
		}
	}
	return nil
}

// wantedWitnesses gives the witnesses one step nearer to what is wanted, nil if all is well or nothing is to be had: more of them, one replaced that is wiped, leaving or lost, or one moved.
func (c *Core) nextWitnesses(view *View) []Member {
	if witnesses := c.withMoreWitnesses(view); witnesses != nil {
		return witnesses
	}
	if witnesses := c.withReplacedWitness(view); witnesses != nil {
		return witnesses
	}
	return c.withSpreadWitnesses(view)
}

func (c *Core) withReplacedWitness(view *View) []Member {
	free := c.learners(view)
	if len(free) == 0 {
		return nil
	}
	for i, witness := range view.Witnesses {
		if witness.ID == c.self.ID {
			continue
		}
		atSameAddress := slices.IndexFunc(free, func(m Member) bool { return m.Address == witness.Address })
		if atSameAddress >= 0 { // another disk is at the witness's own address: it was wiped
			return replaced(view.Witnesses, i, free[atSameAddress])
		}
		if c.isLeaving(witness) || c.isWitnessLost(witness) {
			others := c.countPerDomain(without(view.Witnesses, witness.ID))
			return replaced(view.Witnesses, i, c.inSmallestDomain(free, others))
		}
	}
	return nil
}

func (c *Core) isWitnessLost(witness Member) bool {
	answered := c.startedAt
	if p := c.peer(witness.ID); p != nil {
		answered = max(p.lastReplyAt, c.startedAt)
	}
	return c.now-answered > c.timing.WitnessTimeout
}

// nextCandidate picks whom to give the state next: those that answer, then other areas, then the old copies, then witnesses, then the rest. Members that want to leave come last, when nobody else is to be had.
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

// reluctance puts last those that did not answer lately, and the primary that this member takes over from, unless it has answered since.
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
