// Package outlier judges the health of replicas by what they do: each node by its own shots, the control primary by what all nodes tell it. Neither the list's word nor a health answer ejects or acquits.
package outlier

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"go.uber.org/atomic"
)

// Kind is what went wrong with a shot.
type Kind int

// The kinds, by what they say of the replica.
const (
	Refused Kind = iota // no connection could be opened
	Silent              // no answer in time
	Reset               // the connection ended before an answer
	Cut                 // an answer that broke off, or was none
	Failed              // a 5xx of its own
	Shed                // turned away though it told of free places
	Slow                // overdue: far later than predicted
	Stale               // a kept connection was reset when it was used again: forgotten, most likely
)

// weights are the parts of a whole failure.
var weights = [...]float64{Refused: 1, Silent: 1, Reset: blameReset, Cut: blameCut, Failed: blameFailed, Shed: blameShed, Slow: blameSlow, Stale: blameStale}

// hard kinds pause a replica at once: nothing sent there now would arrive.
func (k Kind) hard() bool { return k == Refused || k == Silent }

// Fitness is whether a replica may be chosen.
type Fitness int

// The values of Fitness, best last.
const (
	Out    Fitness = iota // ejected, or its one trial is under way
	Passed                // under suspicion and passed over this time: only if there is no other
	Fit
)

// fading is a sum that halves with time.
type fading struct {
	n  float64
	at time.Time
}

func (f *fading) now(now time.Time, half time.Duration) float64 {
	if f.n != 0 && now.After(f.at) {
		f.n *= math.Exp2(-now.Sub(f.at).Seconds() / half.Seconds())
	}
	f.at = now
	return f.n
}

func (f *fading) add(x float64, now time.Time, half time.Duration) { f.n = f.now(now, half) + x }

type record struct {
	pool       string
	bad        fading
	episodes   fading // ejections of late
	out        time.Time
	judged     bool // the ejection is by judgement, not for a hard failure
	trial      bool // the next shot is the one trial after an ejection
	trying     bool // it is out
	suspect    time.Time
	good, fail float64 // not told yet
}

type service struct {
	n    int
	bad  fading  // over its replicas
	took float64 // mean seconds of an answer
	seen int
}

// Gauge is one node's judgement. Its methods take the service where a replica may be unknown yet.
type Gauge struct {
	mu sync.Mutex
	r  map[string]*record
	s  map[string]*service
	// draw gives a number from 0 to 1
	draw func() float64
	// cases is how many replicas anything is decided about, or more; while it is 0 all are fit
	cases atomic.Int64
}

// New makes a gauge that knows nobody.
func New() *Gauge {
	return &Gauge{r: map[string]*record{}, s: map[string]*service{}, draw: rand.Float64}
}

// Keep takes the replicas of the moment, each with its service.
func (g *Gauge) Keep(of map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.s {
		s.n = 0
	}
	for id, pool := range of {
		if g.r[id] == nil {
			g.r[id] = &record{pool: pool}
		}
		if g.s[pool] == nil {
			g.s[pool] = &service{}
		}
		g.s[pool].n++
	}
	for id := range g.r {
		if _, ok := of[id]; !ok {
			delete(g.r, id)
		}
	}
}

// room is how many of a service's replicas may be out by judgement at once: never all of them.
func room(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, n/ejectPart)
}

// Fit tells whether a replica may be chosen now. A bold inquiry may be sent again if it fails: most trials of suspects are made with these.
func (g *Gauge) Fit(id string, bold bool, now time.Time) Fitness {
	if g.cases.Load() == 0 {
		return Fit
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.r[id]
	switch {
	case r == nil:
		return Fit
	case now.Before(r.out), r.trial && r.trying:
		return Out
	case now.Before(r.suspect) && (bold && g.draw() >= suspectBold || !bold && g.draw() >= suspectPass):
		return Passed
	}
	return Fit
}

// Sent notes that a shot goes to a replica; Over must follow.
func (g *Gauge) Sent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.r[id]; r != nil {
		r.trying = r.trial
	}
}

// Over notes that a shot has ended, whatever came of it.
func (g *Gauge) Over(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.r[id]; r != nil {
		r.trying = false
	}
}

// Due is how long after sending a first word is overdue: far later than the prediction, or without one (0) than the service's answers take on average, and well after the aim: before it a busy replica may just have a line. ok is false while that isn't known.
func (g *Gauge) Due(id string, expect, aim time.Duration) (d time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.r[id]
	if r == nil {
		return 0, false
	}
	if expect <= 0 {
		s := g.s[r.pool]
		if s.seen < tookOver {
			return 0, false
		}
		expect = time.Duration((s.took) * float64(time.Second))
	}
	return max(time.Duration(slowTimes*float64(expect))+slowLeast, time.Duration(slowAims*float64(aim))), true
}

// Good notes that a replica's first word came, took after sending. overdue says that it was held against it already that it came late.
func (g *Gauge) Good(id string, took, expect time.Duration, overdue bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.r[id]
	if r == nil {
		return
	}
	r.trial, r.trying = false, false
	s := g.s[r.pool]
	if expect <= 0 {
		s.seen++
		s.took += (took.Seconds() - s.took) / float64(min(s.seen, tookOver))
	}
	if !overdue {
		r.good++
	}
}

// Bad notes a failure of a replica.
func (g *Gauge) Bad(id string, k Kind, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.r[id]; r != nil {
		g.blame(r, k, now)
	}
}

func (g *Gauge) blame(r *record, k Kind, now time.Time) {
	s, w := g.s[r.pool], weights[k]
	others := 0.0
	if s.n > 1 {
		others = max(0, s.bad.now(now, blameHalf)-r.bad.now(now, blameHalf)) / float64(s.n-1)
	}
	r.bad.add(w, now, blameHalf)
	s.bad.add(w, now, blameHalf)
	r.fail += w
	if now.Before(r.out) {
		return
	}
	need := blameNeed
	if now.Before(r.suspect) {
		need = blameNeedSuspect
	} else if k == Slow && !r.trial {
		return // a line at a busy replica looks the same from one node: the fleet's word is wanted too
	}
	judged := r.bad.n >= need && r.bad.n >= peerTimes*others
	if r.trial {
		judged = k != Stale
	}
	if k.hard() || judged && g.judged(r.pool, now) < room(s.n) {
		g.eject(r, !k.hard(), now)
	}
}

func (g *Gauge) judged(pool string, now time.Time) (n int) {
	for _, r := range g.r {
		if r.pool == pool && r.judged && now.Before(r.out) {
			n++
		}
	}
	return
}

// eject keeps shots away for a time that grows with the episodes of late. Beyond the part of a service that may be out it doesn't grow.
func (g *Gauge) eject(r *record, judged bool, now time.Time) {
	out := 0
	for _, x := range g.r {
		if x.pool == r.pool && now.Before(x.out) {
			out++
		}
	}
	d := FirstEjection
	if out < room(g.s[r.pool].n) {
		n := math.Floor(r.episodes.now(now, episodeHalf) + 0.5)
		d = min(ejectMost, time.Duration(float64(d)*math.Exp2(min(n, 4))))
	}
	g.cases.Inc()
	r.episodes.add(1, now, episodeHalf)
	r.out, r.judged, r.trial, r.trying = now.Add(d), judged, true, false
}

// Suspected takes what control says of the whole fleet's experience: these replicas, and no others, are under suspicion for a while. Suspicion alone ejects nobody; it passes most shots by and lowers the own evidence needed.
func (g *Gauge) Suspected(ids []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	on := map[string]bool{}
	for _, id := range ids {
		on[id] = true
	}
	for id, r := range g.r {
		switch {
		case on[id]:
			r.suspect = now.Add(suspectSpan)
			g.cases.Inc()
		default:
			r.suspect = time.Time{}
		}
	}
}

// Report is what one node tells of one replica since the last time.
type Report struct {
	ID   string  `json:"r"`
	Node uint64  `json:"n"`
	Good float64 `json:"g"`
	Bad  float64 `json:"b"`
}

// Words gives what is to be told and forgets it: failures, and for replicas under suspicion what went well too. In calm times there is none.
func (g *Gauge) Words(node uint64, now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ws []Report
	cases := int64(0)
	for id, r := range g.r {
		if r.trial || now.Before(r.suspect) {
			cases++
		}
		if r.fail > 0 || r.good > 0 && now.Before(r.suspect) {
			ws = append(ws, Report{id, node, r.good, r.fail})
		}
		r.good, r.fail = 0, 0
	}
	g.cases.Store(cases)
	sort.Slice(ws, func(i, j int) bool { return ws[i].Bad > ws[j].Bad || ws[i].Bad == ws[j].Bad && ws[i].ID < ws[j].ID })
	return ws[:min(len(ws), wordsMost)]
}

// Stat is one replica on the state page.
type Stat struct {
	Failures  float64 `json:"failures_faded"`
	Ejected   bool    `json:"ejected"`
	Trial     bool    `json:"trial"`
	Suspected bool    `json:"suspected"`
	Episodes  float64 `json:"episodes_faded"`
}

// Stats tells of the replicas that anything is held against.
func (g *Gauge) Stats(now time.Time) map[string]Stat {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]Stat{}
	for id, r := range g.r {
		s := Stat{r.bad.now(now, blameHalf), now.Before(r.out), r.trial, now.Before(r.suspect), r.episodes.now(now, episodeHalf)}
		if s.Failures > statLeast || s.Episodes > statLeast || s.Ejected || s.Suspected {
			m[id] = s
		}
	}
	return m
}
