package prefixindex

// MaxContradictions is the number of contradictions in a row at which a hint is dropped: one may be chance.
const MaxContradictions = 3

// evict removes one run from its replica's view.
func (x *Index) evict(evicted *run) {
	cache := evicted.cache
	cache.byRecentUse.Remove(evicted.cacheElement)
	x.drop(evicted)
	delete(cache.runs, evicted.key)
	cache.usedTokens -= evicted.tokens
	cache.evictions++
}

// drop removes a run from its owner's list and from the holders of its key.
func (x *Index) drop(dropped *run) {
	owned := x.owners[dropped.owner]
	owned.Remove(dropped.ownerElement)
	if owned.Len() == 0 {
		delete(x.owners, dropped.owner)
	}
	x.memory.Release(dropped.owner, 1)
	x.removeHolder(dropped)
	x.runs--
}

// removeHolder removes a run from the holders of its key; the last holder takes its position.
func (x *Index) removeHolder(removed *run) {
	holders := x.holders[removed.key]
	last := len(holders) - 1
	moved := holders[last]
	holders[removed.position] = moved
	moved.position = removed.position
	holders[last] = nil
	if last == 0 {
		delete(x.holders, removed.key)
		return
	}
	x.holders[removed.key] = holders[:last]
}

// Contradicted records that a replica took as long as if it held nothing of a
// chain; a hint that is contradicted several times in a row is dropped.
func (x *Index) Contradicted(replica string, chain *Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	cache := x.caches[replica]
	if cache == nil || chain == nil {
		return
	}
	for _, key := range chain.Keys {
		run := cache.get(key)
		if run == nil {
			return
		}
		run.contradictions++
		if run.contradictions >= MaxContradictions {
			x.evict(run)
		}
	}
}

// Confirmed records that a replica was as quick as hinted: contradictions of its hints are forgotten.
func (x *Index) Confirmed(replica string, chain *Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	cache := x.caches[replica]
	if cache == nil || chain == nil {
		return
	}
	for _, key := range chain.Keys {
		if run := cache.get(key); run != nil {
			run.contradictions = 0
		}
	}
}

// Retain forgets all replicas but the live ones. A replica that was restarted, or
// has other weights, has another id and starts with an empty view.
func (x *Index) Retain(live map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for replica := range x.caches {
		if !live[replica] {
			x.forget(replica)
		}
	}
}

// Forget drops what one replica is believed to hold.
func (x *Index) Forget(replica string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(replica)
}

func (x *Index) forget(replica string) {
	cache := x.caches[replica]
	if cache == nil {
		return
	}
	for element := cache.byRecentUse.Front(); element != nil; element = element.Next() {
		x.drop(element.Value.(*run))
	}
	delete(x.caches, replica)
}

// ReserveTokens records that running requests use so many tokens of a replica's memory.
// Cached runs that the rest has no room for are taken as evicted, the least recently used
// first. It does nothing for a replica without runs.
func (x *Index) ReserveTokens(replica string, reservedTokens float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	cache := x.caches[replica]
	if cache == nil {
		return
	}
	left := float64(cache.capacityTokens) - reservedTokens
	for cache.byRecentUse.Len() > 0 && float64(cache.usedTokens) > left {
		x.evict(cache.leastRecentlyUsed())
	}
}
