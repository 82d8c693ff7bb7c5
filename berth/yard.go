// Package berth places inquiries: homes by rendezvous, spill, the warmer-replica rule and letting in by predicted time to the first token for model replicas; least busy of two for the others.
package berth

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/gauge"
	"shaletrestle/kerf"
	"shaletrestle/logbook"
	"shaletrestle/plate"
	"shaletrestle/tick"
)

// Ask is what is to be placed.
type Ask struct {
	Pool     string
	Locality string
	Chain    *kerf.Chain // nil for services without an engine
	Capacity int         // tokens of memory of one replica
	OutMost  int         // most tokens that may come out
	Aim      tick.Span   // time within which the first token is wanted
	Not      map[string]bool
	Bold     bool                       // it may be sent again if it fails
	Regions  func(locality string) bool // nil: everywhere
	ColdRate func(id string) float64    // inquiries a second that this process may send to a cold replica
}

// Choice is where an inquiry goes.
type Choice struct {
	Replica *logbook.Replica
	Matched int
	Expect  tick.Span // predicted time to the first token
	Alone   tick.Span // the same with nothing else there
	Spilled bool
	Warmer  bool
	Cold    bool
}

type berth struct {
	r        *logbook.Replica
	inflight int
	tokens   float64 // prompt tokens sent by this process that have given no event yet
	kv       float64 // tokens of memory that this process's inquiries hold
	running  float64
	waiting  float64
	slots    float64
	toldAt   tick.Moment
	prefill  float64 // seconds per prompt token, learned
	extra    float64 // seconds of delay beyond the predicted, learned
	extraAt  tick.Moment
	wrong    bool // another replica is at its address
	coldNext tick.Moment
	coldTill tick.Moment // back from an evacuation: cold until the list has had time to say
}

// Yard knows the replicas and how busy they seem from here.
type Yard struct {
	mu      sync.Mutex
	index   *kerf.Index
	health  *gauge.Gauge
	b       map[string]*berth
	pools   map[string][]*berth
	evac    map[string]bool
	prefill float64
	prompt  float64 // tokens that a prompt leaves to be read, on average
	spills  int64
	warmer  int64
	placed  int64
}

// NewYard makes an empty yard.
func NewYard(x *kerf.Index) *Yard {
	return &Yard{index: x, health: gauge.New(), b: map[string]*berth{}, pools: map[string][]*berth{}, evac: map[string]bool{}, prefill: plate.PrefillToken.Seconds()}
}

// Health is the judgement of replicas that placing heeds.
func (y *Yard) Health() *gauge.Gauge { return y.health }

// Set takes the replicas and evacuated localities of the moment. back is how long a locality that takes inquiries again counts as cold.
func (y *Yard) Set(rs map[string]*logbook.Replica, evac map[string]bool, back tick.Span) {
	y.mu.Lock()
	defer y.mu.Unlock()
	live := map[string]bool{}
	of := make(map[string]string, len(rs))
	pools := map[string][]*berth{}
	for id, r := range rs {
		b := y.b[id]
		if b == nil {
			b = &berth{prefill: y.prefill}
			y.b[id] = b
		}
		if y.evac[r.Locality] && !evac[r.Locality] {
			b.coldTill = tick.Now().Add(back)
		}
		b.r, live[id], of[id] = r, true, r.Pool
		pools[r.Pool] = append(pools[r.Pool], b)
	}
	for id := range y.b {
		if !live[id] {
			delete(y.b, id)
		}
	}
	for _, bs := range pools {
		sort.Slice(bs, func(i, j int) bool { return bs[i].r.ID < bs[j].r.ID })
	}
	y.pools, y.evac = pools, evac
	y.index.Keep(live)
	y.health.Keep(of)
}

// May tells whether a replica may be sent to at this moment.
func (y *Yard) May(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.b[id]
	return b != nil && y.open(b)
}

func (y *Yard) open(b *berth) bool {
	return b.r.State == "ready" && !y.evac[b.r.Locality] && !b.wrong
}

// Count tells how many replicas of a service there are that take inquiries by the list.
func (y *Yard) Count(pool string) (n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, b := range y.pools[pool] {
		if y.open(b) {
			n++
		}
	}
	return
}

func (y *Yard) cold(b *berth, now tick.Moment) bool {
	return b.r.ColdMs > 0 || now.Before(b.coldTill)
}

// Place chooses a replica and counts the inquiry as sent there; Done must follow. ok is false if none may be used now.
func (y *Yard) Place(a *Ask) (c Choice, ok bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := tick.Now()
	var fit []*berth
	var cold, passed *berth
	coldRate := 0.0
	for _, b := range y.pools[a.Pool] {
		if !y.open(b) || a.Not[b.r.ID] || a.Regions != nil && !a.Regions(b.r.Locality) {
			continue
		}
		switch y.health.Fit(b.r.ID, a.Bold, now) {
		case gauge.Out:
			continue
		case gauge.Passed:
			passed = b
			continue
		}
		if y.cold(b, now) {
			if r := a.ColdRate(b.r.ID); r > 0 && !now.Before(b.coldNext) && (cold == nil || b.coldNext.Before(cold.coldNext)) {
				cold, coldRate = b, r
			}
			continue
		}
		fit = append(fit, b)
	}
	if len(fit) == 0 && cold == nil && passed != nil && !y.cold(passed, now) {
		fit = append(fit, passed)
	}
	var b *berth
	switch {
	case len(fit) == 0 && cold == nil:
		return c, false
	case len(fit) == 0:
		b = cold
	case a.Chain != nil:
		b, c = y.engine(a, fit, now)
	default:
		b = y.plain(a, fit, now)
	}
	if y.cold(b, now) {
		c.Cold = true
		b.coldNext = now.Add(tick.Seconds(1 / coldRate))
	}
	c.Replica = b.r
	y.health.Sent(b.r.ID)
	y.placed++
	b.inflight++
	if a.Chain != nil {
		n := a.Chain.Tokens()
		y.prompt += plate.LearnUp * (float64(n-c.Matched) - y.prompt)
		b.tokens += float64(n - c.Matched)
		b.kv += float64(n + a.OutMost)
	}
	return c, true
}

// delay is the predicted time before a new inquiry's own prompt is read.
func (b *berth) delay(now tick.Moment, prompt float64) float64 {
	d := b.tokens * b.prefill
	if age := now.Sub(b.extraAt).Seconds(); age < 2 {
		d = max(d, b.extra*math.Exp(-age*2))
	}
	if age := now.Sub(b.toldAt).Seconds(); age < 1 {
		d = max(d, b.waiting*prompt*(1-age))
	}
	return d
}

func (b *berth) occupancy(capacity int, now tick.Moment) float64 {
	if capacity <= 0 {
		return 0
	}
	own := b.kv / float64(capacity)
	if b.slots > 0 && now.Sub(b.toldAt) < tick.Seconds(2) {
		own = max(own, (b.running+b.waiting)/b.slots)
	}
	return own
}

func rank(key kerf.Key, id string) uint64 {
	var k [8]byte
	for i := range k {
		k[i] = byte(key >> (8 * i))
	}
	return xxhash.Sum64String(string(k[:]) + id)
}

// engine follows the cache design: the first home below the spill mark, else the least busy; a warmer replica wins if what it saves is more than the extra wait there.
func (y *Yard) engine(a *Ask, fit []*berth, now tick.Moment) (*berth, Choice) {
	ids := make([]string, len(fit))
	for i, b := range fit {
		ids[i] = b.r.ID
	}
	match := y.index.Lookup(ids, a.Chain)
	type option struct {
		b     *berth
		m     int
		rank  uint64
		delay float64
		occ   float64
	}
	os := make([]option, len(fit))
	least := 0
	busy := func(o option) float64 { return o.delay + o.occ }
	for i, b := range fit {
		os[i] = option{b, match[i], rank(a.Chain.Head(), b.r.ID), b.delay(now, y.prompt*b.prefill), b.occupancy(a.Capacity, now)}
		if busy(os[i]) < busy(os[least]) {
			least = i
		}
	}
	order := make([]int, len(os))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return os[order[i]].rank > os[order[j]].rank })
	pick, spilled := -1, false
	for _, i := range order[:min(plate.Homes, len(order))] {
		if os[i].occ < plate.Spill {
			pick = i
			break
		}
	}
	if pick < 0 {
		pick, spilled = least, true
	}
	// the smallest exception: a home that would miss the aim gives way to the least busy if that one would be much sooner
	first := func(o option) float64 { return o.delay + float64(a.Chain.Tokens()-o.m)*o.b.prefill }
	if f := first(os[pick]); pick != least && f > plate.SpillAim*a.Aim.Seconds() && first(os[least]) < f/2 {
		pick, spilled = least, true
	}
	c := Choice{Spilled: spilled}
	// every node sees its own part of the traffic only: what the first home keeps is credited with the shared parts, which the others have sent there too
	kept := os[pick].m
	if pick == order[0] && a.Chain.Shared() > 0 {
		kept = max(kept, kerf.ToBlock(a.Chain.Upto[a.Chain.Shared()-1]))
	}
	for i, o := range os {
		if saves := float64(o.m-kept) * o.b.prefill; o.m > kept && saves > o.delay-os[pick].delay && (spilled || o.occ < plate.Spill) {
			pick, c.Warmer = i, true
		}
	}
	if c.Spilled {
		y.spills++
	}
	if c.Warmer {
		y.warmer++
	}
	o := os[pick]
	c.Matched = o.m
	c.Alone = plate.FirstBase + tick.Seconds(float64(a.Chain.Tokens()-o.m)*o.b.prefill)
	c.Expect = tick.Seconds(o.delay) + c.Alone
	return o.b, c
}

func (b *berth) load(now tick.Moment) float64 {
	n := float64(b.inflight)
	if b.slots > 0 {
		if age := now.Sub(b.toldAt).Seconds(); age < 2 {
			n = max(n, (b.running+2*b.waiting)*(1-age/2))
		}
		return n / b.slots
	}
	return n / float64(max(1, b.r.Slots))
}

// plain takes the less busy of two random ones, the first of them from the own locality if it has any.
func (y *Yard) plain(a *Ask, fit []*berth, now tick.Moment) *berth {
	var near []*berth
	for _, b := range fit {
		if b.r.Locality == a.Locality {
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		near = fit
	}
	p := near[rand.IntN(len(near))]
	q := fit[rand.IntN(len(fit))]
	lp, lq := p.load(now), q.load(now)
	if p.r.Locality != q.r.Locality && p.r.Locality == a.Locality {
		lq += plate.NearBonus
	}
	if lq < lp {
		return q
	}
	return p
}

// End tells how a shot ended.
type End struct {
	Replica string
	Chain   *kerf.Chain
	Matched int
	OutMost int
	First   bool // an event or answer came
	Overdue bool // its lateness was held against the replica already
}

// Began notes that the first event came, took long after sending, while expect was predicted.
func (y *Yard) Began(e *End, took, expect tick.Span) {
	y.mu.Lock()
	b := y.b[e.Replica]
	if b == nil || e.First {
		y.mu.Unlock()
		return
	}
	e.First = true
	y.health.Good(e.Replica, took, expect, e.Overdue, tick.Now())
	if e.Chain == nil {
		y.mu.Unlock()
		return
	}
	n := float64(e.Chain.Tokens() - e.Matched)
	b.tokens = max(0, b.tokens-n)
	b.extra, b.extraAt = max(0, (took-expect).Seconds()), tick.Now()
	quiet := b.inflight <= 1
	if n >= plate.LearnTokens {
		per := max(0, took.Seconds()-plate.FirstBase.Seconds()) / n
		learn(&b.prefill, per)
		learn(&y.prefill, per)
	}
	saved := float64(e.Matched) * b.prefill
	y.mu.Unlock()
	if e.Matched == 0 || !quiet {
		return
	}
	if over := (took - expect).Seconds(); over > 0.8*saved && saved > 0.01 {
		y.index.Contradicted(e.Replica, e.Chain)
	} else {
		y.index.Confirmed(e.Replica, e.Chain)
	}
}

// learn moves a rate to an observation: quickly down, slowly up, since waiting only ever adds to what is observed.
func learn(rate *float64, seen float64) {
	w := plate.LearnUp
	if seen < *rate {
		w = plate.LearnDown
	}
	*rate += w * (seen - *rate)
}

// Done ends the count of a shot.
func (y *Yard) Done(e *End) {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.b[e.Replica]
	if b == nil {
		return
	}
	b.inflight = max(0, b.inflight-1)
	y.health.Over(e.Replica)
	if e.Chain != nil {
		if !e.First {
			b.tokens = max(0, b.tokens-float64(e.Chain.Tokens()-e.Matched))
		}
		b.kv = max(0, b.kv-float64(e.Chain.Tokens()+e.OutMost))
		if b.inflight == 0 {
			b.tokens, b.kv = 0, 0
		}
	}
}

// Told takes a replica's own word on its load.
func (y *Yard) Told(id string, running, waiting, slots float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.b[id]; b != nil {
		b.running, b.waiting, b.slots, b.toldAt = running, waiting, slots, tick.Now()
	}
}

// Queued tells whether a replica said lately that requests wait there.
func (y *Yard) Queued(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.b[id]
	return b != nil && b.waiting > 0 && tick.Since(b.toldAt) < plate.QueueSpan
}

// Failed notes that a replica could not be reached or was silent: it is ejected for a bounded, growing time; one trial inquiry follows.
func (y *Yard) Failed(id string) { y.health.Bad(id, gauge.Silent, tick.Now()) }

// Wrong notes that another replica answers at this one's address.
func (y *Yard) Wrong(id string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.b[id]; b != nil {
		b.wrong = true
	}
}

// Stats is for the state page.
type Stats struct {
	Placed  int64                 `json:"placed"`
	Spills  int64                 `json:"spills"`
	Warmer  int64                 `json:"warmer"`
	Prefill float64               `json:"prefill_us_per_token"`
	Berths  map[string]BerthStat  `json:"replicas"`
	Health  map[string]gauge.Stat `json:"health"`
}

// BerthStat is one replica on the state page.
type BerthStat struct {
	Pool     string `json:"service"`
	Locality string `json:"locality"`
	State    string `json:"state"`
	Inflight int    `json:"inflight"`
	Cold     bool   `json:"cold"`
	Wrong    bool   `json:"address_reused"`
}

// Stats tells what the yard sees.
func (y *Yard) Stats() Stats {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := tick.Now()
	s := Stats{y.placed, y.spills, y.warmer, y.prefill * 1e6, map[string]BerthStat{}, y.health.Stats(now)}
	for id, b := range y.b {
		s.Berths[id] = BerthStat{b.r.Pool, b.r.Locality, b.r.State, b.inflight, y.cold(b, now), b.wrong}
	}
	return s
}
