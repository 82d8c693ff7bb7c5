package core

import (
	"slices"
)

// To tolerate f failures a view has f+1 replicas and 2f+1 witnesses. Whoever reaches a majority of the witnesses reaches f+1 members with disks, so a view at its tolerance never needs fewer replicas.

func indexOf(members []Member, id MemberID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func majority(n int) int { return n/2 + 1 }

// rolesOf gives the roles of a member in a view; none in nil.
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

// failuresTolerated is the number of members that may fail at once under a view.
func failuresTolerated(view *View) int {
	if view == nil {
		return 0
	}
	return min(len(view.Backups), max(0, len(view.Witnesses)-1)/2)
}

// targetReplicas is how many replicas a view should have. With no failures to tolerate, a backup is kept where one is available.
func (c *Core) targetReplicas() int { return max(c.config.MaxFailures, 1) + 1 }

// minReplicas is the number below which no view is made: the failures that its witnesses tolerate, and one more.
func (c *Core) minReplicas(base *View) int {
	if c.config.MaxFailures == 0 {
		return 1
	}
	return max(2, (len(base.Witnesses)-1)/2+1)
}

// canImprove reports whether the view has fewer replicas or witnesses than its targets, has them in too few failure domains, or has a member that is leaving, and members are available to change that.
func (c *Core) canImprove(view *View) bool {
	if len(view.Replicas()) < c.targetReplicas() && len(c.spareMembers(view)) > 0 {
		return true
	}
	return c.isConcentrated(view) || c.hasLeavingBackup(view) || c.withMoreWitnesses(view) != nil || c.withSpreadWitnesses(view) != nil
}

// isConcentrated reports whether the replicas lie in so few failure domains that all may fail at once, while a member of another domain is available.
func (c *Core) isConcentrated(view *View) bool {
	perDomain := c.countPerDomain(view.Replicas())
	if len(perDomain) > c.config.MaxDomainFailures {
		return false
	}
	return slices.ContainsFunc(c.spareMembers(view), func(m Member) bool { return perDomain[c.failureDomain(m)] == 0 })
}

// hasLeavingBackup reports whether a leaving backup can be replaced, or exceeds the target.
func (c *Core) hasLeavingBackup(view *View) bool {
	leaves := slices.ContainsFunc(view.Backups, func(m Member) bool { return c.isLeaving(m) })
	if !leaves {
		return false
	}
	return len(c.spareMembers(view)) > 0 || len(view.Replicas()) > c.targetReplicas()
}
