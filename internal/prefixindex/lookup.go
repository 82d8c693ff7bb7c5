package prefixindex

import (
	"slices"
)

// Matched is the number of tokens of a chain that a replica is believed to keep,
// rounded down to whole blocks.
func (x *Index) Matched(replica string, chain *Chain) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.matched(replica, chain)
}

func (x *Index) matched(replica string, chain *Chain) int {
	cache := x.caches[replica]
	if cache == nil || chain == nil {
		return 0
	}
	tokens := 0
	for i, key := range chain.Keys {
		if _, kept := cache.runs[key]; !kept {
			break
		}
		tokens = chain.PrefixTokens[i]
	}
	return tokens / x.blockTokens * x.blockTokens
}

// Each is Matched for several replicas at once: replica names the i-th of n, and
// tell is called with its tokens. It counts as one lookup.
func (x *Index) MatchedEach(chain *Chain, n int, replica func(i int) string, tell func(i, tokens int)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	best := 0
	for i := range n {
		tokens := x.matched(replica(i), chain)
		best = max(best, tokens)
		tell(i, tokens)
	}
	x.lookups++
	if best > 0 {
		x.hits++
	}
}

// Holders appends to ids the replicas that are believed to keep most of a chain
// and that fit, those that keep the most first. It stops when the capacity of ids
// is used up or a number of entries was looked at.
func (x *Index) Holders(chain *Chain, ids []string, fit func(id string) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	seen := 0
	for i := len(chain.Keys) - 1; i >= 0; i-- {
		for _, run := range x.holders[chain.Keys[i]] {
			if len(ids) == cap(ids) || seen == maxHoldersExamined {
				return ids
			}
			seen++
			replica := run.cache.replica
			if !slices.Contains(ids, replica) && fit(replica) {
				ids = append(ids, replica)
			}
		}
	}
	return ids
}
