package prefixindex

import (
	"container/list"
)

// Bounds of the counters by which thrashing is noticed.
const (
	minStores = 16   // stores before a replica's evictions tell anything
	maxStores = 4096 // stores after which both counters are halved
)

// run is one hint: a replica is believed to keep the run of blocks of a key.
type run struct {
	key            Key
	tokens         int
	contradictions int // in a row
	owner          string
	cache          *cacheView
	inCache        *list.Element // in its replica's order of use
	inOwner        *list.Element // in its owner's order of use
	position       int           // among the holders of its key
}

// cacheView is what one replica, from its start on, is believed to keep.
type cacheView struct {
	replica  string
	capacity int        // tokens
	used     int        // tokens
	recent   *list.List // of *run, the one used last in front
	runs     map[Key]*list.Element
	stores   float64
	evicts   float64
}

func newCacheView(replica string) *cacheView {
	return &cacheView{replica: replica, recent: list.New(), runs: map[Key]*list.Element{}}
}

// thrashes tells whether nearly as many runs were evicted as were stored.
func (c *cacheView) thrashes() bool {
	return c.evicts > thrashRatio*c.stores && c.stores > minStores
}

// fade halves the counters once they are large.
func (c *cacheView) fade() {
	if c.stores > maxStores {
		c.stores /= 2
		c.evicts /= 2
	}
}

// get gives the run of a key, nil if it is not kept.
func (c *cacheView) get(key Key) *run {
	element := c.runs[key]
	if element == nil {
		return nil
	}
	return element.Value.(*run)
}

// oldest is the run that was unused longest, nil if there is none.
func (c *cacheView) oldest() *run {
	element := c.recent.Back()
	if element == nil {
		return nil
	}
	return element.Value.(*run)
}
