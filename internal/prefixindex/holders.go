package prefixindex

import "shaletrestle/internal/constants"

// Cut sets the tokens of a block.
func (x *Index) Cut(block int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.block = max(1, block)
}

// Holders appends to ids replicas that are believed to keep most of a chain, those that keep the most first, of the ones that fit; a few at most.
func (x *Index) Holders(c *Chain, ids []string, fit func(id string) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	seen := 0
	for i := len(c.Keys) - 1; i >= 0; i-- {
		rs := x.holders[c.Keys[i]]
		for _, r := range rs {
			if len(ids) == cap(ids) || seen == constants.HoldersSeen {
				return ids
			}
			seen++
			if !named(ids, r.shelf.id) && fit(r.shelf.id) {
				ids = append(ids, r.shelf.id)
			}
		}
	}
	return ids
}

func named(ids []string, id string) bool {
	for _, s := range ids {
		if s == id {
			return true
		}
	}
	return false
}

// Each is Matched for several replicas at once.
func (x *Index) Each(c *Chain, n int, id func(i int) string, tell func(i, tokens int)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	best := 0
	for i := range n {
		m := x.matched(id(i), c)
		best = max(best, m)
		tell(i, m)
	}
	x.asked++
	if best > 0 {
		x.hits++
	}
}

// Forget drops what one replica is believed to keep.
func (x *Index) Forget(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(id)
}

func (x *Index) forget(id string) {
	if s := x.shelves[id]; s != nil {
		for e := s.lru.Front(); e != nil; e = e.Next() {
			x.drop(e.Value.(*run))
		}
		delete(x.shelves, id)
	}
}

// Room notes that so many tokens of a replica's memory are held by what runs there: kept runs that the rest has no room for are taken as given way, the longest unused first.
func (x *Index) Room(id string, held float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.shelves[id]
	for s != nil && s.lru.Len() > 0 && float64(s.used) > float64(s.capacity)-held {
		x.evict(s.lru.Back().Value.(*run))
	}
}
