package prefixindex

import (
	"container/list"
)

const (
	// thrashRatio is the ratio of evictions to stores above which a cache is thrashing (source).
	thrashRatio = 0.9
	// minCountedStores is the number of stores before a replica's ratio says anything.
	minCountedStores = 16
	// maxCountedStores is the number of stores after which both counters are halved, so that the newest count most.
	maxCountedStores = 4096
)

// run is one hint: a replica is believed to have cached the run of blocks of a key.
type run struct {
	key            Key
	tokens         int
	contradictions int // in a row
	owner          string
	cache          *cacheView
	cacheElement   *list.Element // in its replica's order of use
	ownerElement   *list.Element // in its owner's order of use
	position       int           // among the holders of its key
}

// cacheView is what one replica is believed to have cached since its start.
type cacheView struct {
	replica        string
	capacityTokens int
	usedTokens     int
	byRecentUse    *list.List // of *run, the one used last in front
	runs           map[Key]*list.Element
	stores         float64 // and evictions: counts that are halved from time to time
	evictions      float64
}

func newCacheView(replica string) *cacheView {
	return &cacheView{replica: replica, byRecentUse: list.New(), runs: map[Key]*list.Element{}}
}

// isThrashing reports whether nearly as many runs were evicted as were stored.
func (c *cacheView) isThrashing() bool {
	return c.evictions > thrashRatio*c.stores && c.stores > minCountedStores
}

// halveCounts halves the counters once they are large.
func (c *cacheView) halveCounts() {
	if c.stores > maxCountedStores {
		c.stores /= 2
		c.evictions /= 2
	}
}

// get returns the run of a key, nil if it is not held.
func (c *cacheView) get(key Key) *run {
	element := c.runs[key]
	if element == nil {
		return nil
	}
	return element.Value.(*run)
}

// leastRecentlyUsed is the run that was unused longest, nil if there is none.
func (c *cacheView) leastRecentlyUsed() *run {
	element := c.byRecentUse.Back()
	if element == nil {
		return nil
	}
	return element.Value.(*run)
}
