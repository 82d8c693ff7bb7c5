package placement

import (
	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/splitmix"
)

const (
	// homesPerChain is the number of homes of a chain that become candidates (source: m02).
	homesPerChain = 3
	// replicasPerBucket is the number of replicas a bucket keeps, among which homes are ranked by the key itself,
	// so that keys of one bucket spread over these.
	replicasPerBucket = 32
	// bucketCount is the number of buckets of keys. A bucket's order is computed when it is first used: ranking all
	// replicas for each request would be too slow.
	bucketCount = 4096
	// rankMultiplier spreads keys before they meet the replicas' hashes; it is 2^64 over the golden ratio.
	rankMultiplier = 0x9e3779b97f4a7c15
)

// rank is a replica's position in the rendezvous order of a key: the highest comes first. All nodes
// compute the same.
func rank(key uint64, replica *replicaState) uint64 {
	return splitmix.Mix(key*rankMultiplier ^ replica.idHash)
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// ranked is a replica with its rank for one key.
type ranked struct {
	replica *replicaState
	rank    uint64
}

// insertRanked inserts a replica into a short list, highest rank first, whose first n entries are set; it returns how many
// are then. Of a full list the lowest is dropped.
func insertRanked(top []ranked, n int, inserted ranked) int {
	if n == len(top) && inserted.rank < top[n-1].rank {
		return n
	}
	i := n
	if n < len(top) {
		n++
	} else {
		i = n - 1
	}
	for ; i > 0 && top[i-1].rank < inserted.rank; i-- {
		top[i] = top[i-1]
	}
	top[i] = inserted
	return n
}

// homes finds the homes of prompts: the replicas that come first in the rendezvous order of what the prompts share, so
// that nodes send the same prompts to the same replicas without talking to each other.
type homes struct {
	buckets [][]*replicaState // the first in the order of each bucket's key; nil until used
}

// bucket returns the first of all replicas in the order of a key's bucket. The result is not to be changed.
func (h *homes) bucket(key prefixindex.Key, all []*replicaState) []*replicaState {
	if h.buckets == nil {
		h.buckets = make([][]*replicaState, bucketCount)
	}
	number := int(splitmix.Mix(uint64(key)) % bucketCount)
	if found := h.buckets[number]; found != nil {
		return found
	}
	var top [replicasPerBucket]ranked
	n := 0
	for _, replica := range all {
		n = insertRanked(top[:], n, ranked{replica, rank(uint64(number), replica)})
	}
	order := make([]*replicaState, n)
	for i := range order {
		order[i] = top[i].replica
	}
	h.buckets[number] = order
	return order
}

// update takes a change of the replicas; only buckets whose order it changes are dropped.
func (h *homes) update(added []*replicaState, gone map[*replicaState]bool) {
	for number, order := range h.buckets {
		if order != nil && isOrderChanged(number, order, added, gone) {
			h.buckets[number] = nil
		}
	}
}

func isOrderChanged(number int, order, added []*replicaState, gone map[*replicaState]bool) bool {
	if len(gone) > 0 {
		for _, replica := range order {
			if gone[replica] {
				return true
			}
		}
	}
	if len(order) == 0 {
		return len(added) > 0
	}
	last := rank(uint64(number), order[len(order)-1])
	for _, replica := range added {
		if len(order) < replicasPerBucket || rank(uint64(number), replica) > last {
			return true
		}
	}
	return false
}
