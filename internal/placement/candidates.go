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
	all            []*replicaState // by id
	open           []*replicaState // that take inquiries by the list
	openByZone     map[string][]*replicaState
	homeBuckets    [][]*replicaState // by bucket: the first in rendezvous order; nil until used
	meanOccupancy  float64           // part of their slots that replicas say are running, on average
	meanHeldTokens float64           // tokens that a request holds, on average
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank is a replica's place in the rendezvous order of a key: the highest comes first.
func rank(key uint64, b *replicaState) uint64 { return mix(key*0x9e3779b97f4a7c15 ^ b.idHash) }

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// members takes a new set of replicas; only buckets whose order it changes are made anew.
func (p *pool) setMembers(all []*replicaState) {
	old := map[*replicaState]bool{}
	for _, b := range p.all {
		old[b] = true
	}
	var added []*replicaState
	for _, b := range all {
		if !old[b] {
			added = append(added, b)
		}
		delete(old, b)
	}
	p.all = all
	for k, l := range p.homeBuckets {
		if l != nil && p.orderChanged(k, l, added, old) {
			p.homeBuckets[k] = nil
		}
	}
}

func (p *pool) orderChanged(k int, l []*replicaState, added []*replicaState, gone map[*replicaState]bool) bool {
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
		if len(l) < replicasPerBucket || rank(uint64(k), b) > last {
			return true
		}
	}
	return false
}

// ranked is a replica with its place in a rendezvous order.
type ranked struct {
	replica *replicaState
	rank    uint64
}

// enter puts one into a short list, highest rank first, of which n places are taken; it gives how many are then. Where the list is full the lowest falls out.
func insertRanked(top []ranked, n int, x ranked) int {
	if n == len(top) && x.rank < top[n-1].rank {
		return n
	}
	i := n
	if n < len(top) {
		n++
	} else {
		i = n - 1
	}
	for ; i > 0 && top[i-1].rank < x.rank; i-- {
		top[i] = top[i-1]
	}
	top[i] = x
	return n
}

// bucket gives the first replicas in the rendezvous order of a key's bucket.
func (p *pool) homeBucket(key prefixindex.Key) []*replicaState {
	if p.homeBuckets == nil {
		p.homeBuckets = make([][]*replicaState, bucketCount)
	}
	k := int(mix(uint64(key)) % bucketCount)
	if l := p.homeBuckets[k]; l != nil {
		return l
	}
	var top [replicasPerBucket]ranked
	n := 0
	for _, b := range p.all {
		n = insertRanked(top[:], n, ranked{b, rank(uint64(k), b)})
	}
	l := make([]*replicaState, n)
	for i := range l {
		l[i] = top[i].replica
	}
	p.homeBuckets[k] = l
	return l
}

// candidate is a replica that is weighed.
type candidate struct {
	replica        *replicaState
	matchedTokens  int // tokens that the index says it keeps
	expectedTokens int // tokens that it is expected to keep for what other nodes sent there
	cost           float64
}

// bunch is a few candidates, each replica once.
type candidateSet struct {
	count int
	items [homesPerChain + prefixindex.MaxHolders + randomCandidates]candidate
}

func (s *candidateSet) add(b *replicaState) *candidate {
	for i := range s.count {
		if s.items[i].replica == b {
			return &s.items[i]
		}
	}
	if s.count == len(s.items) {
		return nil
	}
	s.items[s.count] = candidate{replica: b}
	s.count++
	return &s.items[s.count-1]
}

// addHomes adds the first homes that may be used, the best first.
func (y *Placer) addHomes(s *candidateSet, p *pool, a *Request, now time.Time) {
	var top [homesPerChain]ranked
	n, head := 0, uint64(a.Chain.SharedKey())
	for _, b := range p.homeBucket(a.Chain.SharedKey()) {
		if y.isWarm(a, b, now) {
			n = insertRanked(top[:], n, ranked{b, rank(head, b)})
		}
	}
	for i, x := range top[:n] {
		c := s.add(x.replica)
		if s := a.Chain.SharedParts(); s > 0 && i == 0 {
			c.expectedTokens = y.wholeBlocks(a.Chain.PrefixTokens[s-1])
		}
	}
}

func (y *Placer) wholeBlocks(tokens int) int {
	return tokens / y.options.BlockTokens * y.options.BlockTokens
}

// sample draws one that may be used from a list; nil if none was found in some draws.
func (y *Placer) sample(a *Request, bs []*replicaState, now time.Time) *replicaState {
	for range min(maxDraws, 4*len(bs)) {
		if b := bs[rand.IntN(len(bs))]; y.isWarm(a, b, now) {
			return b
		}
	}
	return nil
}

// scan looks through a whole list and draws one that may be used; it is needed only when hardly any may be.
func (y *Placer) scan(a *Request, bs []*replicaState, now time.Time) (pick *replicaState) {
	n := 0
	for _, b := range bs {
		if y.isWarm(a, b, now) {
			if n++; rand.IntN(n) == 0 {
				pick = b
			}
		}
	}
	return
}

// coldest is the cold replica that may be sent to and was sent to longest ago, with its rate.
func (y *Placer) chooseWarmingUp(a *Request, p *pool, now time.Time) (cold *replicaState, rate float64) {
	for _, b := range p.open {
		if !y.isEligible(a, b, now) || !y.isWarmingUp(b, now) || now.Before(b.nextWarmupRequest) || cold != nil && !b.nextWarmupRequest.Before(cold.nextWarmupRequest) {
			continue
		}
		if r := a.WarmupRate(b.replica.ID); r > 0 {
			cold, rate = b, r
		}
	}
	return
}

// warm tells whether a replica may be used as one that is not cold.
func (y *Placer) isWarm(a *Request, b *replicaState, now time.Time) bool {
	return y.isEligible(a, b, now) && !y.isWarmingUp(b, now)
}

// gather finds the candidates of a prompt: homes, those that the index names, and a few at random.
func (y *Placer) gather(s *candidateSet, p *pool, a *Request, now time.Time) {
	y.addHomes(s, p, a, now)
	if len(p.open) <= len(s.items) { // so few that all are
		for _, b := range p.open {
			if y.isWarm(a, b, now) {
				s.add(b)
			}
		}
		return
	}
	var hits [prefixindex.MaxHolders]string
	for _, id := range y.index.Holders(a.Chain, hits[:0], func(id string) bool {
		b := y.replicas[id]
		return b != nil && b.replica.Pool == a.Pool && y.isWarm(a, b, now)
	}) {
		s.add(y.replicas[id])
	}
	for i := range randomCandidates {
		from := p.open
		if near := p.openByZone[a.Zone]; i%2 == 0 && len(near) > 0 {
			from = near
		}
		if b := y.sample(a, from, now); b != nil {
			s.add(b)
		}
	}
	if s.count == 0 {
		if b := y.scan(a, p.open, now); b != nil {
			s.add(b)
		}
	}
}

// engine weighs the candidates: the least cost wins, and of equal ones the first.
func (y *Placer) choosePrompt(a *Request, p *pool, now time.Time) (*replicaState, Choice) {
	var s candidateSet
	a.sharedWeight = y.options.sharedBlockWeight(a, y.prefillPerToken)
	y.gather(&s, p, a, now)
	if s.count == 0 {
		return nil, Choice{}
	}
	return y.choose(s.items[:s.count], p, a, now)
}

func (y *Placer) choose(cs []candidate, p *pool, a *Request, now time.Time) (*replicaState, Choice) {
	best := 0
	y.index.MatchedEach(a.Chain, len(cs), func(i int) string { return cs[i].replica.replica.ID }, func(i, n int) { cs[i].matchedTokens = n })
	for i := range cs {
		c := &cs[i]
		c.cost = y.cost(c, p, a, now)
		if c.cost < cs[best].cost {
			best = i
		}
	}
	pick, home := &cs[best], &cs[0]
	c := Choice{MatchedTokens: max(pick.matchedTokens, pick.expectedTokens)}
	if best > 0 {
		c.Warmer = pick.matchedTokens > max(home.matchedTokens, home.expectedTokens)
		c.Spilled = !c.Warmer
	}
	if c.Warmer {
		y.warmer++
	}
	if c.Spilled {
		y.spills++
	}
	c.UnloadedTTFT = baseTTFT + durations.FromSeconds(float64(a.Chain.Tokens()-c.MatchedTokens)*pick.replica.prefillPerToken)
	c.PredictedTTFT = durations.FromSeconds(pick.replica.queueDelay(now, y.meanUncachedTokens*pick.replica.prefillPerToken)) + c.UnloadedTTFT
	return pick.replica, c
}

// cost is what a candidate costs, its credit taken off.
func (y *Placer) cost(c *candidate, p *pool, a *Request, now time.Time) float64 {
	var l costTerms
	y.addLoad(&l, c.replica, p, a, now)
	credit := y.options.creditBlocks(a.Chain, max(c.matchedTokens, c.expectedTokens), a.sharedWeight)
	l.OverlapCredit = y.options.decayedCredit(credit, l.ActivePrefill)
	return l.cost()
}

// plain takes the less busy of two random ones, the first of them from the own locality if it has any.
func (y *Placer) chooseLessLoaded(a *Request, p *pool, now time.Time) *replicaState {
	near := p.openByZone[a.Zone]
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
	lp, lq := first.occupancy(now), second.occupancy(now)
	if first.replica.Zone != second.replica.Zone && first.replica.Zone == a.Zone {
		lq += sameZoneBonus
	}
	if lq < lp {
		return second
	}
	return first
}

// arrange brings the pools up to date with the replicas of the moment.
func (y *Placer) updatePools(of map[string][]*replicaState) {
	for name, p := range y.pools {
		if len(of[name]) == 0 {
			p.setMembers(nil)
			delete(y.pools, name)
		}
	}
	for name, bs := range of {
		p := y.pools[name]
		if p == nil {
			p = &pool{}
			y.pools[name] = p
		}
		sort.Slice(bs, func(i, j int) bool { return bs[i].replica.ID < bs[j].replica.ID })
		p.setMembers(bs)
		y.refreshOpen(p)
	}
}

// reopen lists anew which of a service's replicas take inquiries.
func (y *Placer) refreshOpen(p *pool) {
	p.open, p.openByZone = nil, map[string][]*replicaState{}
	for _, b := range p.all {
		if y.isOpen(b) {
			p.open = append(p.open, b)
			p.openByZone[b.replica.Zone] = append(p.openByZone[b.replica.Zone], b)
		}
	}
}
