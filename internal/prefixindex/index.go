// Package prefixindex is an index of hints: which replicas are believed to keep
// which prefix blocks of prompts in their cache. Keys are chained over the parts
// of a prompt from the model and the revision of its weights; the client is not
// part of the key.
package prefixindex

import (
	"container/list"
	"sync"

	"shaletrestle/coord/fairshare"
)

// Index holds the hints of one process.
type Index struct {
	mu          sync.Mutex
	sketch      *Sketch
	caches      map[string]*cacheView // by replica
	queue       queue
	sequence    int                   // of the newest pending prompt
	memory      *fairshare.Shares     // the runs that this process may hold, shared by the owners
	owners      map[string]*list.List // of *run, the one used last in front
	holders     map[Key][]*run        // who keeps a run
	blockTokens int                   // tokens of a block
	runs        int
	lookups     int64
	hits        int64 // lookups that found something
}

// NewIndex makes an empty index of the usual size.
func NewIndex() *Index { return NewSizedIndex(MaxRuns) }

// SizedIndex makes an empty index that holds at most so many runs. When it is
// full, the owner that holds most gives way, so that a heavy owner can't push the
// others' runs out.
func NewSizedIndex(runs int) *Index {
	return &Index{
		sketch:      &Sketch{},
		caches:      map[string]*cacheView{},
		memory:      fairshare.New(int64(runs), 1),
		owners:      map[string]*list.List{},
		holders:     map[Key][]*run{},
		blockTokens: BlockTokens,
	}
}

// Cut sets the tokens of a block.
func (x *Index) SetBlockTokens(block int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.blockTokens = max(1, block)
}

// Stats tells the runs held, the lookups and how many of them found something.
func (x *Index) Stats() (runs int, lookups, hits int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs, x.lookups, x.hits
}

// Portions lists how many runs each owner holds.
func (x *Index) OwnerShares() []fairshare.UserShare { return x.memory.UserShares() }
