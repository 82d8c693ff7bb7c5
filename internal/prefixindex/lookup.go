package prefixindex

import (
	"slices"
)

const (
	// MaxHolders is the number of replicas named by the index that become candidates of a prompt.
	MaxHolders = 6
	// maxHoldersExamined bounds the entries looked at to find them.
	maxHoldersExamined = 24
)

// Matched is the number of tokens of a chain that a replica is believed to hold, rounded down to whole blocks; 0 for
// one that nothing is known of, and for a nil chain.
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
		if _, held := cache.runs[key]; !held {
			break
		}
		tokens = chain.PrefixTokens[i]
	}
	return tokens / x.blockTokens * x.blockTokens
}

// MatchedEach is [Index.Matched] for several replicas at once: replica names the i-th of n, and record is called with
// its tokens. It counts as one lookup and allocates nothing.
func (x *Index) MatchedEach(chain *Chain, n int, replica func(i int) string, record func(i, tokens int)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	best := 0
	for i := range n {
		tokens := x.matched(replica(i), chain)
		best = max(best, tokens)
		record(i, tokens)
	}
	x.lookups++
	if best > 0 {
		x.hits++
	}
}

// Holders appends to ids the replicas that are believed to hold most of a chain and that are eligible, those that hold
// the most first. It stops when the capacity of ids is used up or a number of entries was examined, so it allocates
// nothing.
func (x *Index) Holders(chain *Chain, ids []string, isEligible func(id string) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	examined := 0
	for i := len(chain.Keys) - 1; i >= 0; i-- {
		for _, run := range x.holders[chain.Keys[i]] {
			if len(ids) == cap(ids) || examined == maxHoldersExamined {
				return ids
			}
			examined++
			replica := run.cache.replica
			if !slices.Contains(ids, replica) && isEligible(replica) {
				ids = append(ids, replica)
			}
		}
	}
	return ids
}
