package core

import (
	"slices"
)

func (c *Core) targetWitnesses() int { return 2*max(c.config.MaxFailures, 1) + 1 }

// learners are the writable members, this one included, that are no witnesses.
func (c *Core) learners(view *View) []Member {
	members := c.writableMembers()
	if c.leaving == nil && !c.disk.stalled {
		members = append(members, c.self)
	}
	return slices.DeleteFunc(members, func(m Member) bool { return indexOf(view.Witnesses, m.ID) >= 0 })
}

func without(members []Member, id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

func replaced(members []Member, i int, m Member) []Member {
	members = slices.Clone(members)
	members[i] = m
	return members
}

// withMoreWitnesses gives the witnesses with learners added while there are fewer than the target, nil if there is nothing to add. An odd number stays odd: one more would tolerate no more failures.
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

// withSpreadWitnesses gives the witnesses with one replaced out of a failure domain that holds too many, nil if there is none or no learner in another domain.
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

// nextWitnesses gives the witnesses one step nearer to the target, nil if they are at it or no learner is available: more of them, one replaced that was wiped, leaves or failed, or one moved to another domain.
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
