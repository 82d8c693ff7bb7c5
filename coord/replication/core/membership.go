package core

import (
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
