package router

import (
	"sync"

	"shaletrestle/internal/state"
)

// coldStartShares is this process's share of what cold replicas bear, for one set of nodes: a few nodes by rendezvous, the others none. What is found for a replica is kept.
type coldStartShares struct {
	nodes     []string
	self      string
	fractions sync.Map // by replica
}

func newColdStartShares(nodes []string, self string) *coldStartShares {
	return &coldStartShares{nodes: nodes, self: self}
}

// rate is what this process may send a second to one cold replica that bears perS.
func (c *coldStartShares) rate(perS float64, id string) float64 {
	if len(c.nodes) == 0 {
		return perS * coldStartMargin / defaultFleetSize
	}
	part, ok := c.fractions.Load(id)
	if !ok {
		part, _ = c.fractions.LoadOrStore(id, c.fraction(id))
	}
	return perS * coldStartMargin * part.(float64)
}

// fraction is one in so many if this node is among the first for a replica.
func (c *coldStartShares) fraction(id string) float64 {
	k := min(coldStartNodes, len(c.nodes))
	if rankOf(c.nodes, id, c.self) >= k {
		return 0
	}
	return 1 / float64(k)
}

// modelRevisions tells the revision of each model that a service's replicas serve, the newest of them.
type modelRevisions map[[2]string]int64

func newModelRevisions(rs map[string]*state.Replica) *modelRevisions {
	w := modelRevisions{}
	for _, r := range rs {
		for _, m := range r.Models {
			k := [2]string{r.Pool, m.Name}
			w[k] = max(w[k], m.Revision)
		}
	}
	return &w
}

func (w modelRevisions) of(pool, model string) int64 { return w[[2]string{pool, model}] }
