package prefixindex

import (
	"container/list"
	"sync"

	"shaletrestle/coord/fairshare"
)

// MaxRuns bounds the runs of all replicas together in an index of the usual size.
const MaxRuns = 20000

// Index holds the hints of one process. Make it with [NewIndex]. All methods are safe for concurrent use.
type Index struct {
	mu          sync.Mutex // guards all fields below
	sketch      *sketch
	caches      map[string]*cacheView // by replica
	queue       queue
	sequence    int                   // of the newest pending prompt
	memory      *fairshare.Shares     // bounds the runs of this process, and counts them by owner
	owners      map[string]*list.List // of *run, the one used last in front
	holders     map[Key][]*run        // the runs of a key, one for each replica that holds it
	blockTokens int                   // tokens of a block
	runs        int
	lookups     int64
	hits        int64 // lookups that found something
}

// NewIndex returns an empty index of the usual size, [MaxRuns].
func NewIndex() *Index { return NewSizedIndex(MaxRuns) }

// NewSizedIndex returns an empty index of at most so many runs. When it is full, runs of
// the owner that has most are evicted, so that a heavy owner can't displace the others.
func NewSizedIndex(runs int) *Index {
	return &Index{
		sketch:      &sketch{},
		caches:      map[string]*cacheView{},
		memory:      fairshare.New(int64(runs), 1), // no threshold: only the capacity counts
		owners:      map[string]*list.List{},
		holders:     map[Key][]*run{},
		blockTokens: BlockTokens,
	}
}

// SetBlockTokens sets the tokens of a block, by which later lookups are rounded down; below 1 it is 1. The runs
// stay.
func (x *Index) SetBlockTokens(block int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.blockTokens = max(1, block)
}

// Stats are counts of an index.
type Stats struct {
	Runs    int   // held now
	Lookups int64 // of prompts, since the start
	Hits    int64 // lookups that found something
}

// Stats returns the counts of the moment.
func (x *Index) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Stats{Runs: x.runs, Lookups: x.lookups, Hits: x.hits}
}

// OwnerShares lists how many runs each owner holds, those that hold the most first.
func (x *Index) OwnerShares() []fairshare.UserShare { return x.memory.UserShares() }
