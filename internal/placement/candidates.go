package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"shaletrestle/internal/durations"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/prefixindex"
)

// pool is the replicas of one service and what is kept ready for choosing among them.
type pool struct {
	all   []*berth // by id
	open  []*berth // that take inquiries by the list
	near  map[string][]*berth
	homes [][]*berth // by bucket: the first in rendezvous order; nil until used
	mean  float64    // part of their slots that replicas say are running, on average
	hold  float64    // tokens that a request holds, on average
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank is a replica's place in the rendezvous order of a key: the highest comes first.
func rank(key uint64, b *berth) uint64 { return mix(key*0x9e3779b97f4a7c15 ^ b.hash) }

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// members takes a new set of replicas; only buckets whose order it changes are made anew.
func (p *pool) members(all []*berth) {
	old := map[*berth]bool{}
	for _, b := range p.all {
		old[b] = true
	}
	var added []*berth
	for _, b := range all {
		if !old[b] {
			added = append(added, b)
		}
		delete(old, b)
	}
	p.all = all
	for k, l := range p.homes {
		if l != nil && p.disturbed(k, l, added, old) {
			p.homes[k] = nil
		}
	}
}

func (p *pool) disturbed(k int, l []*berth, added []*berth, gone map[*berth]bool) bool {
	if len(gone) > 0 {
		for _, b := range l {
			if gone[b] {
				return true
			}
		}
	}
	if len(l) == 0 {
		return len(added) > 0
	}
	last := rank(uint64(k), l[len(l)-1])
	for _, b := range added {
		if len(l) < homeDepth || rank(uint64(k), b) > last {
			return true
		}
	}
	return false
}

// ranked is a replica with its place in a rendezvous order.
type ranked struct {
	b *berth
	r uint64
}

// enter puts one into a short list, highest rank first, of which n places are taken; it gives how many are then. Where the list is full the lowest falls out.
func enter(top []ranked, n int, x ranked) int {
	if n == len(top) && x.r < top[n-1].r {
		return n
	}
	i := n
	if n < len(top) {
		n++
	} else {
		i = n - 1
	}
	for ; i > 0 && top[i-1].r < x.r; i-- {
		top[i] = top[i-1]
	}
	top[i] = x
	return n
}

// bucket gives the first replicas in the rendezvous order of a key's bucket.
func (p *pool) bucket(key prefixindex.Key) []*berth {
	if p.homes == nil {
		p.homes = make([][]*berth, homeBuckets)
	}
	k := int(mix(uint64(key)) % homeBuckets)
	if l := p.homes[k]; l != nil {
		return l
	}
	var top [homeDepth]ranked
	n := 0
	for _, b := range p.all {
		n = enter(top[:], n, ranked{b, rank(uint64(k), b)})
	}
	l := make([]*berth, n)
	for i := range l {
		l[i] = top[i].b
	}
	p.homes[k] = l
	return l
}

// candidate is a replica that is weighed.
type candidate struct {
	b       *berth
	matched int // tokens that the index says it keeps
	expect  int // tokens that it is expected to keep for what other nodes sent there
	cost    float64
}

// bunch is a few candidates, each replica once.
type bunch struct {
	n  int
	at [defaultHomes + prefixindex.MaxHolders + samples]candidate
}

func (s *bunch) add(b *berth) *candidate {
	for i := range s.n {
		if s.at[i].b == b {
			return &s.at[i]
		}
	}
	if s.n == len(s.at) {
		return nil
	}
	s.at[s.n] = candidate{b: b}
	s.n++
	return &s.at[s.n-1]
}

// addHomes adds the first homes that may be used, the best first.
func (y *Placer) addHomes(s *bunch, p *pool, a *Request, now time.Time) {
	var top [defaultHomes]ranked
	n, head := 0, uint64(a.Chain.Head())
	for _, b := range p.bucket(a.Chain.Head()) {
		if y.warm(a, b, now) {
			n = enter(top[:], n, ranked{b, rank(head, b)})
		}
	}
	for i, x := range top[:n] {
		c := s.add(x.b)
		if s := a.Chain.Shared(); s > 0 && i == 0 {
			c.expect = y.cut(a.Chain.Upto[s-1])
		}
	}
}

func (y *Placer) cut(tokens int) int { return tokens / y.opts.Block * y.opts.Block }

// sample draws one that may be used from a list; nil if none was found in some draws.
func (y *Placer) sample(a *Request, bs []*berth, now time.Time) *berth {
	for range min(sampleTries, 4*len(bs)) {
		if b := bs[rand.IntN(len(bs))]; y.warm(a, b, now) {
			return b
		}
	}
	return nil
}

// scan looks through a whole list and draws one that may be used; it is needed only when hardly any may be.
func (y *Placer) scan(a *Request, bs []*berth, now time.Time) (pick *berth) {
	n := 0
	for _, b := range bs {
		if y.warm(a, b, now) {
			if n++; rand.IntN(n) == 0 {
				pick = b
			}
		}
	}
	return
}

// coldest is the cold replica that may be sent to and was sent to longest ago, with its rate.
func (y *Placer) coldest(a *Request, p *pool, now time.Time) (cold *berth, rate float64) {
	for _, b := range p.open {
		if !y.fits(a, b, now) || !y.cold(b, now) || now.Before(b.coldNext) || cold != nil && !b.coldNext.Before(cold.coldNext) {
			continue
		}
		if r := a.ColdRate(b.r.ID); r > 0 {
			cold, rate = b, r
		}
	}
	return
}

// warm tells whether a replica may be used as one that is not cold.
func (y *Placer) warm(a *Request, b *berth, now time.Time) bool {
	return y.fits(a, b, now) && !y.cold(b, now)
}

// gather finds the candidates of a prompt: homes, those that the index names, and a few at random.
func (y *Placer) gather(s *bunch, p *pool, a *Request, now time.Time) {
	y.addHomes(s, p, a, now)
	if len(p.open) <= len(s.at) { // so few that all are
		for _, b := range p.open {
			if y.warm(a, b, now) {
				s.add(b)
			}
		}
		return
	}
	var hits [prefixindex.MaxHolders]string
	for _, id := range y.index.Holders(a.Chain, hits[:0], func(id string) bool { b := y.b[id]; return b != nil && b.r.Pool == a.Pool && y.warm(a, b, now) }) {
		s.add(y.b[id])
	}
	for i := range samples {
		from := p.open
		if near := p.near[a.Locality]; i%2 == 0 && len(near) > 0 {
			from = near
		}
		if b := y.sample(a, from, now); b != nil {
			s.add(b)
		}
	}
	if s.n == 0 {
		if b := y.scan(a, p.open, now); b != nil {
			s.add(b)
		}
	}
}

// engine weighs the candidates: the least cost wins, and of equal ones the first.
func (y *Placer) engine(a *Request, p *pool, now time.Time) (*berth, Choice) {
	var s bunch
	a.weight = y.opts.shared(a, y.prefill)
	y.gather(&s, p, a, now)
	if s.n == 0 {
		return nil, Choice{}
	}
	return y.choose(s.at[:s.n], p, a, now)
}

func (y *Placer) choose(cs []candidate, p *pool, a *Request, now time.Time) (*berth, Choice) {
	best := 0
	y.index.Each(a.Chain, len(cs), func(i int) string { return cs[i].b.r.ID }, func(i, n int) { cs[i].matched = n })
	for i := range cs {
		c := &cs[i]
		c.cost = y.cost(c, p, a, now)
		if c.cost < cs[best].cost {
			best = i
		}
	}
	pick, home := &cs[best], &cs[0]
	c := Choice{Matched: max(pick.matched, pick.expect)}
	if best > 0 {
		c.Warmer = pick.matched > max(home.matched, home.expect)
		c.Spilled = !c.Warmer
	}
	if c.Warmer {
		y.warmer++
	}
	if c.Spilled {
		y.spills++
	}
	c.Alone = firstBase + durations.FromSeconds(float64(a.Chain.Tokens()-c.Matched)*pick.b.prefill)
	c.Expect = durations.FromSeconds(pick.b.delay(now, y.prompt*pick.b.prefill)) + c.Alone
	return pick.b, c
}

// cost is what a candidate costs, its credit taken off.
func (y *Placer) cost(c *candidate, p *pool, a *Request, now time.Time) float64 {
	var l Load
	y.weigh(&l, c.b, p, a, now)
	credit := y.opts.credit(a.Chain, max(c.matched, c.expect), a.weight)
	l.OverlapCredit = y.opts.decayed(credit, l.ActivePrefill)
	return l.Cost()
}

// plain takes the less busy of two random ones, the first of them from the own locality if it has any.
func (y *Placer) plain(a *Request, p *pool, now time.Time) *berth {
	near := p.near[a.Locality]
	first := y.sample(a, near, now)
	if first == nil {
		first = y.scan(a, near, now)
	}
	second := y.sample(a, p.open, now)
	if second == nil {
		second = y.scan(a, p.open, now)
	}
	if first == nil {
		first, second = second, y.sample(a, p.open, now)
	}
	if first == nil || second == nil {
		return first
	}
	lp, lq := first.load(now), second.load(now)
	if first.r.Zone != second.r.Zone && first.r.Zone == a.Locality {
		lq += nearBonus
	}
	if lq < lp {
		return second
	}
	return first
}

// arrange brings the pools up to date with the replicas of the moment.
func (y *Placer) arrange(of map[string][]*berth) {
	for name, p := range y.pools {
		if len(of[name]) == 0 {
			p.members(nil)
			delete(y.pools, name)
		}
	}
	for name, bs := range of {
		p := y.pools[name]
		if p == nil {
			p = &pool{}
			y.pools[name] = p
		}
		sort.Slice(bs, func(i, j int) bool { return bs[i].r.ID < bs[j].r.ID })
		p.members(bs)
		y.reopen(p)
	}
}

// reopen lists anew which of a service's replicas take inquiries.
func (y *Placer) reopen(p *pool) {
	p.open, p.near = nil, map[string][]*berth{}
	for _, b := range p.all {
		if y.open(b) {
			p.open = append(p.open, b)
			p.near[b.r.Zone] = append(p.near[b.r.Zone], b)
		}
	}
}
