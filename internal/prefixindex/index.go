package prefixindex

import (
	"container/heap"
	"container/list"
	"sync"

	"shaletrestle/coord/fairshare"
	"shaletrestle/internal/constants"
)

type run struct {
	key    Key
	tokens int
	wrong  int
	owner  string
	shelf  *shelf
	here   *list.Element // on its shelf
	owned  *list.Element // among its owner's
	place  int           // among those that hold the key
}

// shelf is what one life of a replica is believed to keep, oldest use last.
type shelf struct {
	id       string
	capacity int
	used     int
	lru      *list.List
	at       map[Key]*list.Element
	stores   float64
	evicts   float64
}

type pending struct {
	replica  string
	chain    *Chain
	owner    string
	upto     int
	priority int
	seq      int
}

type queue []pending

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is the heap's.
func (q *queue) Push(x any) { *q = append(*q, x.(pending)) }

// Pop is the heap's.
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// Index holds the hints of one process.
type Index struct {
	mu      sync.Mutex
	sketch  *Sketch
	shelves map[string]*shelf
	store   queue
	seq     int
	room    *fairshare.Pie // runs, by owner: the node's memory for hints
	owners  map[string]*list.List
	holders map[Key][]*run // the reverse: who keeps a run
	block   int
	runs    int
	hits    int64
	asked   int64
}

// NewIndex makes an empty index.
func NewIndex() *Index { return SizedIndex(constants.IndexRuns) }

// SizedIndex makes an empty index that holds at most so many runs. When it is full, the owner that holds most gives way, so that a heavy one can't push the others' out.
func SizedIndex(runs int) *Index {
	return &Index{sketch: &Sketch{}, shelves: map[string]*shelf{}, room: fairshare.New(int64(runs), 1), owners: map[string]*list.List{}, holders: map[Key][]*run{}, block: constants.BlockTokens}
}

// Matched is the number of tokens of a chain that a replica is believed to keep, cut to a block.
func (x *Index) Matched(replica string, c *Chain) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.matched(replica, c)
}

func (x *Index) matched(replica string, c *Chain) int {
	s := x.shelves[replica]
	if s == nil || c == nil {
		return 0
	}
	n := 0
	for i, k := range c.Keys {
		if _, ok := s.at[k]; !ok {
			break
		}
		n = c.Upto[i]
	}
	return n / x.block * x.block
}

// Sent notes that an owner's chain was sent to a replica. A run is entered at its second sighting; what waits is entered by worth, matched length times count.
func (x *Index) Sent(replica string, capacity int, c *Chain, owner string) {
	if c == nil || len(c.Keys) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.shelves[replica]
	if s == nil {
		s = &shelf{id: replica, lru: list.New(), at: map[Key]*list.Element{}}
		x.shelves[replica] = s
	}
	s.capacity = capacity
	need := constants.SecondSight
	if s.evicts > constants.Thrash*s.stores && s.stores > 16 {
		need++ // thrash: be more selective
	}
	upto, count := 0, 0
	for i, k := range c.Keys { // every part is counted, also behind one that is seen for the first time
		if n := x.sketch.Add(k); n >= need && upto == i {
			upto, count = i+1, n
		}
	}
	if upto == 0 {
		return
	}
	x.seq++
	heap.Push(&x.store, pending{replica, c, owner, upto, c.Upto[upto-1] * count, x.seq})
	if len(x.store) > constants.StoreQueue {
		x.dropLowest()
	}
	if len(x.store) >= constants.StoreQueue/8 || !x.room.Full() {
		x.drain()
	}
}

func (x *Index) dropLowest() {
	low := 0
	for i := range x.store {
		if x.store.Less(low, i) {
			low = i
		}
	}
	heap.Remove(&x.store, low)
}

func (x *Index) drain() {
	for len(x.store) > 0 {
		p := heap.Pop(&x.store).(pending)
		if s := x.shelves[p.replica]; s != nil {
			x.enter(s, p.chain, p.upto, p.owner)
		}
	}
}

func (x *Index) enter(s *shelf, c *Chain, upto int, owner string) {
	mine := x.owners[owner]
	if mine == nil {
		mine = list.New()
		x.owners[owner] = mine
	}
	for i := upto - 1; i >= 0; i-- { // the first run ends up newest: what goes before is never older than what follows
		k, t := c.Keys[i], c.Parts[i].Tokens
		if e, ok := s.at[k]; ok {
			s.lru.MoveToFront(e)
			r := e.Value.(*run)
			x.owners[r.owner].MoveToFront(r.owned)
			continue
		}
		r := &run{key: k, tokens: t, owner: owner, shelf: s}
		r.here, r.owned = s.lru.PushFront(r), mine.PushFront(r)
		s.at[k] = r.here
		r.place = len(x.holders[k])
		x.holders[k] = append(x.holders[k], r)
		s.used += t
		s.stores++
		x.runs++
		x.room.Add(owner, 1)
	}
	for s.used > s.capacity && s.lru.Len() > 0 { // the replica's memory: it knows no owners
		x.evict(s.lru.Back().Value.(*run))
	}
	for x.room.Full() { // this node's memory: the heaviest owner gives way
		x.evict(x.owners[x.room.Heaviest()].Back().Value.(*run))
	}
	if s.stores > 4096 {
		s.stores, s.evicts = s.stores/2, s.evicts/2
	}
}

func (x *Index) evict(r *run) {
	s := r.shelf
	s.lru.Remove(r.here)
	x.drop(r)
	delete(s.at, r.key)
	s.used -= r.tokens
	s.evicts++
}

// drop takes a run off its owner's books.
func (x *Index) drop(r *run) {
	own := x.owners[r.owner]
	if own.Remove(r.owned); own.Len() == 0 {
		delete(x.owners, r.owner)
	}
	x.room.Give(r.owner, 1)
	hs := x.holders[r.key]
	last := len(hs) - 1
	hs[r.place], hs[last].place = hs[last], r.place
	if hs[last] = nil; last == 0 {
		delete(x.holders, r.key)
	} else {
		x.holders[r.key] = hs[:last]
	}
	x.runs--
}

// Contradicted notes that a replica took as long as if it kept nothing; a hint contradicted often is dropped.
func (x *Index) Contradicted(replica string, c *Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.shelves[replica]
	if s == nil || c == nil {
		return
	}
	for _, k := range c.Keys {
		e, ok := s.at[k]
		if !ok {
			return
		}
		r := e.Value.(*run)
		if r.wrong++; r.wrong >= constants.HintContra {
			x.evict(r)
		}
	}
}

// Confirmed notes that a replica was as quick as hinted.
func (x *Index) Confirmed(replica string, c *Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.shelves[replica]; s != nil && c != nil {
		for _, k := range c.Keys {
			if e, ok := s.at[k]; ok {
				e.Value.(*run).wrong = 0
			}
		}
	}
}

// Keep drops the shelves of all lives but these: a new life or revision is another, empty one.
func (x *Index) Keep(live map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id := range x.shelves {
		if !live[id] {
			x.forget(id)
		}
	}
}

// Stats tells the runs held, lookups and how many of them found something.
func (x *Index) Stats() (runs int, asked, hits int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs, x.asked, x.hits
}

// Portions lists how many runs each owner holds.
func (x *Index) Portions() []fairshare.Slice { return x.room.Slices() }

// FetchPays is the break-even of the source: importing a run from a peer pays if the link carries its bytes faster than they are computed anew.
func FetchPays(tokenBytes, linkMbps float64, prefillPerToken float64) bool {
	if linkMbps <= 0 || prefillPerToken <= 0 {
		return false
	}
	return tokenBytes*8/(linkMbps*1e6) < prefillPerToken
}
