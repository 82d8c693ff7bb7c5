package gatehouse

import (
	"github.com/cespare/xxhash/v2"

	"shaletrestle/logbook"
)

// served names a model at a service.
type served struct{ pool, model string }

// revisions gives the newest revision of each model that a service's replicas serve.
func revisions(rs map[string]*logbook.Replica) *map[served]int64 {
	out := map[served]int64{}
	for _, r := range rs {
		for _, m := range r.Models {
			k := served{r.Pool, m.Name}
			out[k] = max(out[k], m.Revision)
		}
	}
	return &out
}

// among tells whether self is one of the k nodes that rendezvous names for id; self need not be known.
func among(self, id string, nodes []string, k int) bool {
	buf := append(make([]byte, 0, 64), id...)
	weight := func(n string) uint64 { return xxhash.Sum64(append(buf[:len(id)], n...)) }
	mine, before, known := weight(self), 0, false
	for _, n := range nodes {
		if n == self {
			known = true
		} else if weight(n) > mine {
			if before++; before >= k {
				return false
			}
		}
	}
	return known
}
