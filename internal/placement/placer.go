// Package placement places inquiries: the replica of least cost in blocks for prompts, by what is kept where and what is waiting there; least busy of two for the others.
package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"shaletrestle/internal/durations"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

// Request is what is to be placed.
type Request struct {
	Pool     string
	Locality string
	Chain    *prefixindex.Chain // nil for services without an engine
	Capacity int                // tokens of memory of one replica
	OutMost  int                // most tokens that may come out
	Aim      time.Duration      // time within which the first token is wanted
	Not      map[string]bool
	Bold     bool                       // it may be sent again if it fails
	Regions  func(locality string) bool // nil: everywhere
	ColdRate func(id string) float64    // inquiries a second that this process may send to a cold replica
	weight   float64                    // of a shared block, when it is placed
	last     bool                       // replicas under suspicion may be used too
}

// Choice is where an inquiry goes.
type Choice struct {
	Replica *state.Replica
	Matched int
	Expect  time.Duration // predicted time to the first token
	Alone   time.Duration // the same with nothing else there
	Spilled bool
	Warmer  bool
	Cold    bool
}

type berth struct {
	r        *state.Replica
	hash     uint64
	slow     float64 // by what part it reads slower than the service's mean
	inflight int
	tokens   float64 // prompt tokens sent by this process that have given no event yet
	kv       float64 // tokens of memory that this process's inquiries hold
	running  float64
	waiting  float64
	slots    float64
	toldAt   time.Time
	prefill  float64 // seconds per prompt token, learned
	extra    float64 // seconds of delay beyond the predicted, learned
	extraAt  time.Time
	wrong    bool    // another replica is at its address
	key      uint32  // by which the fleet names it
	said     uint32  // tokens that this process told the fleet of last
	fleet    float64 // tokens of others that wait here beyond the usual, by the fleet's sum
	fleetAt  time.Time
	coldNext time.Time
	coldTill time.Time // back from an evacuation: cold until the list has had time to say
}

// Placer knows the replicas and how busy they seem from here.
type Placer struct {
	mu      sync.Mutex
	index   *prefixindex.Index
	health  *outlier.Gauge
	b       map[string]*berth
	pools   map[string]*pool
	opts    Options
	evac    map[string]bool
	prefill float64
	per     float64 // seconds a prompt token as seen, waiting included
	prompt  float64 // tokens that a prompt leaves to be read, on average
	spills  int64
	warmer  int64
	placed  int64
}

// NewYard makes an empty yard.
func NewYard(x *prefixindex.Index) *Placer {
	return &Placer{index: x, health: outlier.New(), b: map[string]*berth{}, pools: map[string]*pool{}, opts: Defaults(), evac: map[string]bool{}, prefill: InitialPrefillPerToken.Seconds()}
}

// Health is the judgement of replicas that placing heeds.
func (y *Placer) Health() *outlier.Gauge { return y.health }

// Set takes the replicas and evacuated localities of the moment. back is how long a locality that takes inquiries again counts as cold.
func (y *Placer) Set(rs map[string]*state.Replica, evac map[string]bool, back time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	keeps := map[string]bool{}
	of := make(map[string]string, len(rs))
	pools := map[string][]*berth{}
	for id, r := range rs {
		b := y.b[id]
		if b == nil {
			b = &berth{prefill: y.prefill, hash: hashID(id), key: loadsum.Key(id)}
			y.b[id] = b
		}
		if y.evac[r.Zone] && !evac[r.Zone] {
			b.coldTill = time.Now().Add(back)
		}
		if b.r != nil && b.r.Pool == r.Pool && !slices.Equal(b.r.Models, r.Models) {
			y.index.Forget(id) // other weights: nothing of what it kept is of use
		}
		b.r, keeps[id], of[id] = r, r.State == "ready", r.Pool
		pools[r.Pool] = append(pools[r.Pool], b)
	}
	for id := range y.b {
		if rs[id] == nil {
			delete(y.b, id)
		}
	}
	y.evac = evac
	y.arrange(pools)
	y.index.Keep(keeps)
	y.health.Keep(of)
}

// Use takes other options.
func (y *Placer) Use(o Options) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.opts = o
	y.index.Cut(o.Block)
}

// May tells whether a replica may be sent to at this moment.
func (y *Placer) May(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.b[id]
	return b != nil && y.open(b)
}

func (y *Placer) open(b *berth) bool {
	return b.r.State == "ready" && !y.evac[b.r.Zone] && !b.wrong
}

// Count tells how many replicas of a service there are that take inquiries by the list.
func (y *Placer) Count(pool string) (n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if p := y.pools[pool]; p != nil {
		n = len(p.open)
	}
	return
}

func (y *Placer) cold(b *berth, now time.Time) bool {
	return b.r.WarmupLeftMs > 0 || now.Before(b.coldTill)
}

// Place chooses a replica and counts the inquiry as sent there; Done must follow. ok is false if none may be used now.
func (y *Placer) Place(a *Request) (c Choice, ok bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	p := y.pools[a.Pool]
	if p == nil {
		return c, false
	}
	b, c, coldRate := y.pick(a, p, now)
	if b == nil { // suspects that were passed over come last
		a.last = true
		b, c, coldRate = y.pick(a, p, now)
		a.last = false
	}
	if b == nil {
		return c, false
	}
	if y.cold(b, now) {
		c.Cold = true
		b.coldNext = now.Add(durations.FromSeconds(1 / coldRate))
	}
	c.Replica = b.r
	y.health.Sent(b.r.ID)
	y.placed++
	b.inflight++
	if a.Chain != nil {
		n := a.Chain.Tokens()
		y.prompt += learnUp * (float64(n-c.Matched) - y.prompt)
		b.tokens += float64(n - c.Matched)
		b.kv += float64(n + a.OutMost)
		p.hold += holderSlice * (float64(n+a.OutMost) - p.hold)
	}
	return c, true
}

// pick chooses a warm replica, or a cold one if no other may be used; nil if none may. coldRate is what may be sent to a cold one in a second.
func (y *Placer) pick(a *Request, p *pool, now time.Time) (b *berth, c Choice, coldRate float64) {
	if a.Chain != nil {
		b, c = y.engine(a, p, now)
	} else {
		b = y.plain(a, p, now)
	}
	if b == nil {
		b, coldRate = y.coldest(a, p, now)
	}
	return
}

// fits tells whether a replica may take an inquiry now.
func (y *Placer) fits(a *Request, b *berth, now time.Time) bool {
	if !y.open(b) || a.Not[b.r.ID] || a.Regions != nil && !a.Regions(b.r.Zone) {
		return false
	}
	f := y.health.Fit(b.r.ID, a.Bold, now)
	return f == outlier.Fit || f == outlier.Passed && a.last
}

// delay is the predicted time before a new inquiry's own prompt is read.
func (b *berth) delay(now time.Time, prompt float64) float64 {
	d := (b.tokens + b.others(now)) * b.prefill
	if age := now.Sub(b.extraAt).Seconds(); age < 2 {
		d = max(d, b.extra*math.Exp(-age*2))
	}
	if age := now.Sub(b.toldAt).Seconds(); age < 1 {
		d = max(d, b.waiting*prompt*(1-age))
	}
	return d
}

func (b *berth) load(now time.Time) float64 {
	n := float64(b.inflight)
	if b.slots > 0 {
		if age := now.Sub(b.toldAt).Seconds(); age < 2 {
			n = max(n, (b.running+2*b.waiting)*(1-age/2))
		}
		return n / b.slots
	}
	return n / float64(max(1, b.r.Slots))
}

// End tells how a shot ended.
type End struct {
	Replica string
	Chain   *prefixindex.Chain
	Matched int
	OutMost int
	First   bool // an event or answer came
	Overdue bool // its lateness was held against the replica already
}

// Began notes that the first event came, took long after sending, while expect was predicted.
func (y *Placer) Began(e *End, took, expect time.Duration) {
	y.mu.Lock()
	b := y.b[e.Replica]
	if b == nil || e.First {
		y.mu.Unlock()
		return
	}
	e.First = true
	y.health.Good(e.Replica, took, expect, e.Overdue, time.Now())
	if e.Chain == nil {
		y.mu.Unlock()
		return
	}
	n := float64(e.Chain.Tokens() - e.Matched)
	b.tokens = max(0, b.tokens-n)
	b.extra, b.extraAt = max(0, (took-expect).Seconds()), time.Now()
	quiet := b.inflight <= 1
	if n >= learnTokens {
		per := max(0, took.Seconds()-firstBase.Seconds()) / n
		learn(&b.prefill, per)
		y.read(b, per)
		learn(&y.prefill, per)
	}
	saved := float64(e.Matched) * b.prefill
	y.mu.Unlock()
	// what a home was only expected to keep is no hint of the index, and tells nothing against one
	if e.Matched == 0 || !quiet || y.index.Matched(e.Replica, e.Chain) < e.Matched {
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
	w := learnUp
	if seen < *rate {
		w = learnDown
	}
	*rate += w * (seen - *rate)
}

// Done ends the count of a shot.
func (y *Placer) Done(e *End) {
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
func (y *Placer) Told(id string, running, waiting, slots float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.b[id]; b != nil {
		b.running, b.waiting, b.slots, b.toldAt = running, waiting, slots, time.Now()
		if p := y.pools[b.r.Pool]; p != nil && slots > 0 {
			p.mean += holderSlice * (running/slots - p.mean)
			y.index.Room(id, running*p.hold)
		}
	}
}

// Queued tells whether a replica said lately that requests wait there.
func (y *Placer) Queued(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.b[id]
	return b != nil && b.waiting > 0 && time.Since(b.toldAt) < queueSpan
}

// Wrong notes that another replica answers at this one's address.
func (y *Placer) Wrong(id string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.b[id]; b != nil {
		b.wrong = true
		y.index.Forget(id)
		if p := y.pools[b.r.Pool]; p != nil {
			y.reopen(p)
		}
	}
}

// Stats is for the state page.
type Stats struct {
	Placed  int64                   `json:"placed"`
	Spills  int64                   `json:"spills"`
	Warmer  int64                   `json:"warmer"`
	Prefill float64                 `json:"prefill_us_per_token"`
	Berths  map[string]BerthStat    `json:"replicas"`
	Health  map[string]outlier.Stat `json:"health"`
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
func (y *Placer) Stats() Stats {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	s := Stats{y.placed, y.spills, y.warmer, y.prefill * 1e6, map[string]BerthStat{}, y.health.Stats(now)}
	for id, b := range y.b {
		s.Berths[id] = BerthStat{b.r.Pool, b.r.Zone, b.r.State, b.inflight, y.cold(b, now), b.wrong}
	}
	return s
}
