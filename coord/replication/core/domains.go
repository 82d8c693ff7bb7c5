package core

import (
	"cmp"
	"slices"
)

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

// inSmallestDomain is the member whose failure domain holds the fewest of those counted; of several, the one with the lowest id.
func (c *Core) inSmallestDomain(members []Member, perDomain map[string]int) Member {
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(perDomain[c.failureDomain(a)], perDomain[c.failureDomain(b)]), cmp.Compare(a.ID, b.ID))
	})
}
