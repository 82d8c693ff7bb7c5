package router

import (
	"sync"

	"shaletrestle/internal/state"
)

// coldShares is this process's share of what cold replicas bear, for one set of nodes: a few nodes by rendezvous, the others none. What is found for a replica is kept.
type coldShares struct {
	nodes []string
	self  string
	part  sync.Map // by replica
}

func newColdShares(nodes []string, self string) *coldShares {
	return &coldShares{nodes: nodes, self: self}
}

// rate is what this process may send a second to one cold replica that bears perS.
func (c *coldShares) rate(perS float64, id string) float64 {
	if len(c.nodes) == 0 {
		return perS * coldMargin / fleetGuess
	}
	part, ok := c.part.Load(id)
	if !ok {
		part, _ = c.part.LoadOrStore(id, c.find(id))
	}
	return perS * coldMargin * part.(float64)
}

// find is one in so many if this node is among the first for a replica.
func (c *coldShares) find(id string) float64 {
	k := min(coldNodes, len(c.nodes))
	if rankOf(c.nodes, id, c.self) >= k {
		return 0
	}
	return 1 / float64(k)
}

// weights tells the revision of each model that a service's replicas serve, the newest of them.
type weights map[[2]string]int64

func newWeights(rs map[string]*state.Replica) *weights {
	w := weights{}
	for _, r := range rs {
		for _, m := range r.Models {
			k := [2]string{r.Pool, m.Name}
			w[k] = max(w[k], m.Revision)
		}
	}
	return &w
}

func (w weights) of(pool, model string) int64 { return w[[2]string{pool, model}] }
