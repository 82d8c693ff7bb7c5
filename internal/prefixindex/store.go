package prefixindex

import (
	"container/heap"
	"container/list"
)

const (
	// MinSightings is how often a prefix is seen before an entry is made (source): most prompts never come again.
	MinSightings = 2
	// pendingBatchFraction: while the memory is over its capacity, the queue is entered only once it has one in so many of
	// pendingLimit prompts.
	pendingBatchFraction = 8
)

// RecordSent records that an owner's chain was sent to a replica with a memory of so many tokens. A run is entered at
// its second sighting, of all replicas together. What waits is entered in the order of its priority, which is matched
// length times count. A nil or empty chain is ignored.
func (x *Index) RecordSent(replica string, capacityTokens int, chain *Chain, owner string) {
	if chain == nil || len(chain.Keys) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	cache := x.cache(replica)
	cache.capacityTokens = capacityTokens
	upto, count := x.countSightings(cache, chain)
	if upto == 0 {
		return
	}
	x.sequence++
	heap.Push(&x.queue, pending{
		replica:  replica,
		chain:    chain,
		owner:    owner,
		parts:    upto,
		priority: chain.PrefixTokens[upto-1] * count,
		sequence: x.sequence,
	})
	if len(x.queue) > pendingLimit {
		heap.Remove(&x.queue, x.queue.lowest())
	}
	if len(x.queue) >= pendingLimit/pendingBatchFraction || !x.memory.OverCapacity() {
		x.enterPending()
	}
}

// cache returns the view of a replica's cache, a new one if there is none.
func (x *Index) cache(replica string) *cacheView {
	cache := x.caches[replica]
	if cache == nil {
		cache = newCacheView(replica)
		x.caches[replica] = cache
	}
	return cache
}

// countSightings counts a sighting of every part and returns the number of parts up to which the chain
// was seen often enough to be entered, and how often that part was seen. Parts
// behind one that is seen for the first time are counted too.
func (x *Index) countSightings(cache *cacheView, chain *Chain) (upto, count int) {
	needed := MinSightings
	if cache.isThrashing() {
		needed++ // be more selective
	}
	for i, key := range chain.Keys {
		sightings := x.sketch.add(key)
		if sightings >= needed && upto == i {
			upto, count = i+1, sightings
		}
	}
	return upto, count
}

// enterPending enters everything that waits.
func (x *Index) enterPending() {
	for len(x.queue) > 0 {
		waiting := heap.Pop(&x.queue).(pending)
		if cache := x.caches[waiting.replica]; cache != nil {
			x.enter(cache, waiting.chain, waiting.parts, waiting.owner)
		}
	}
}

// enter records that a replica holds the first parts of a chain. The last part is
// entered first, so that the first one ends up as the newest: a run is never older
// than those that follow it.
func (x *Index) enter(cache *cacheView, chain *Chain, upto int, owner string) {
	owned := x.ownedBy(owner)
	for i := upto - 1; i >= 0; i-- {
		key := chain.Keys[i]
		if run := cache.get(key); run != nil {
			cache.byRecentUse.MoveToFront(run.cacheElement)
			x.owners[run.owner].MoveToFront(run.ownerElement)
			continue
		}
		x.add(&run{key: key, tokens: chain.Parts[i].Tokens, owner: owner, cache: cache}, owned)
	}
	for cache.usedTokens > cache.capacityTokens && cache.byRecentUse.Len() > 0 { // the replica's memory, which knows no owners
		x.evict(cache.leastRecentlyUsed())
	}
	for x.memory.OverCapacity() { // this process's memory: the heaviest owner loses runs
		x.evict(x.owners[x.memory.HeaviestUser()].Back().Value.(*run))
	}
	cache.halveCounts()
}

// ownedBy returns the runs of an owner, a new list if there is none.
func (x *Index) ownedBy(owner string) *list.List {
	owned := x.owners[owner]
	if owned == nil {
		owned = list.New()
		x.owners[owner] = owned
	}
	return owned
}

// add takes a new run into its cache, its owner's list and the holders of its key.
func (x *Index) add(added *run, owned *list.List) {
	cache := added.cache
	added.cacheElement = cache.byRecentUse.PushFront(added)
	added.ownerElement = owned.PushFront(added)
	cache.runs[added.key] = added.cacheElement
	holders := x.holders[added.key]
	added.position = len(holders)
	x.holders[added.key] = append(holders, added)
	cache.usedTokens += added.tokens
	cache.stores++
	x.runs++
	x.memory.Acquire(added.owner, 1)
}
