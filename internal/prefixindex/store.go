package prefixindex

import (
	"container/heap"
	"container/list"
)

// drainPart is the part of the queue's bound at which the queue is emptied while
// the memory is full.
const pendingBatchFraction = 8

// Sent records that an owner's chain was sent to a replica. A run is entered at
// its second sighting. What waits is entered in the order of its priority, which
// is matched length times count.
func (x *Index) RecordSent(replica string, capacity int, chain *Chain, owner string) {
	if chain == nil || len(chain.Keys) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	cache := x.cache(replica)
	cache.capacity = capacity
	upto, count := x.sighted(cache, chain)
	if upto == 0 {
		return
	}
	x.sequence++
	heap.Push(&x.queue, pending{
		replica:  replica,
		chain:    chain,
		owner:    owner,
		upto:     upto,
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

// cache gives the view of a replica's cache, a new one if there is none.
func (x *Index) cache(replica string) *cacheView {
	cache := x.caches[replica]
	if cache == nil {
		cache = newCacheView(replica)
		x.caches[replica] = cache
	}
	return cache
}

// sighted counts a sighting of every part and tells up to which part the chain
// was seen often enough to be entered, and how often that part was seen. Parts
// behind one that is seen for the first time are counted too.
func (x *Index) sighted(cache *cacheView, chain *Chain) (upto, count int) {
	needed := MinSightings
	if cache.thrashes() {
		needed++ // be more selective
	}
	for i, key := range chain.Keys {
		sightings := x.sketch.Add(key)
		if sightings >= needed && upto == i {
			upto, count = i+1, sightings
		}
	}
	return upto, count
}

// drain enters everything that waits.
func (x *Index) enterPending() {
	for len(x.queue) > 0 {
		waiting := heap.Pop(&x.queue).(pending)
		if cache := x.caches[waiting.replica]; cache != nil {
			x.enter(cache, waiting.chain, waiting.upto, waiting.owner)
		}
	}
}

// enter records that a replica keeps the first parts of a chain. The last part is
// entered first, so that the first one ends up as the newest: a run is never older
// than those that follow it.
func (x *Index) enter(cache *cacheView, chain *Chain, upto int, owner string) {
	owned := x.ownedBy(owner)
	for i := upto - 1; i >= 0; i-- {
		key := chain.Keys[i]
		if run := cache.get(key); run != nil {
			cache.recent.MoveToFront(run.inCache)
			x.owners[run.owner].MoveToFront(run.inOwner)
			continue
		}
		x.add(&run{key: key, tokens: chain.Parts[i].Tokens, owner: owner, cache: cache}, owned)
	}
	for cache.used > cache.capacity && cache.recent.Len() > 0 { // the replica's memory: it knows no owners
		x.evict(cache.oldest())
	}
	for x.memory.OverCapacity() { // this process's memory: the heaviest owner gives way
		x.evict(x.owners[x.memory.HeaviestUser()].Back().Value.(*run))
	}
	cache.fade()
}

// ownedBy gives the runs of an owner, a new list if there is none.
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
	added.inCache = cache.recent.PushFront(added)
	added.inOwner = owned.PushFront(added)
	cache.runs[added.key] = added.inCache
	holders := x.holders[added.key]
	added.position = len(holders)
	x.holders[added.key] = append(holders, added)
	cache.used += added.tokens
	cache.stores++
	x.runs++
	x.memory.Acquire(added.owner, 1)
}
