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
type FailureKind int

// The kinds, by what they say of the replica.
const (
	ConnectionRefused FailureKind = iota // no connection could be opened
	Timeout                              // no answer in time
	ConnectionReset                      // the connection ended before an answer
	InvalidAnswer                        // an answer that broke off, or was none
	ServerError                          // a 5xx of its own
	Rejected                             // turned away though it told of free places
	Overdue                              // overdue: far later than predicted
	StaleConnection                      // a kept connection was reset when it was used again: forgotten, most likely
)

// weights are the parts of a whole failure.
var weights = [...]float64{ConnectionRefused: 1, Timeout: 1, ConnectionReset: weightReset, InvalidAnswer: weightInvalidAnswer, ServerError: weightServerError, Rejected: weightRejected, Overdue: weightOverdue, StaleConnection: weightStaleConnection}

// hard kinds pause a replica at once: nothing sent there now would arrive.
func (k FailureKind) ejectsAtOnce() bool { return k == ConnectionRefused || k == Timeout }

// Fitness is whether a replica may be chosen.
type Fitness int

// The values of Fitness, best last.
const (
	Ejected    Fitness = iota // ejected, or its one trial is under way
	PassedOver                // under suspicion and passed over this time: only if there is no other
	Fit
)

// fading is a sum that halves with time.
type decayingSum struct {
	value float64
	at    time.Time
}

func (f *decayingSum) decay(now time.Time, half time.Duration) float64 {
	if f.value != 0 && now.After(f.at) {
		f.value *= math.Exp2(-now.Sub(f.at).Seconds() / half.Seconds())
	}
	f.at = now
	return f.value
}

func (f *decayingSum) add(x float64, now time.Time, half time.Duration) {
	f.value = f.decay(now, half) + x
}

type replicaRecord struct {
	pool                                    string
	failures                                decayingSum
	episodes                                decayingSum // ejections of late
	ejectedUntil                            time.Time
	byEvidence                              bool // the ejection is by judgement, not for a hard failure
	needsTrial                              bool // the next shot is the one trial after an ejection
	trialUnderWay                           bool // it is out
	suspectUntil                            time.Time
	unreportedSuccesses, unreportedFailures float64 // not told yet
}

type serviceRecord struct {
	replicas    int
	failures    decayingSum // over its replicas
	meanSeconds float64     // mean seconds of an answer
	answers     int
}

// Gauge is one node's judgement. Its methods take the service where a replica may be unknown yet.
type Detector struct {
	mu       sync.Mutex
	replicas map[string]*replicaRecord
	services map[string]*serviceRecord
	// draw gives a number from 0 to 1
	random func() float64
	// cases is how many replicas anything is decided about, or more; while it is 0 all are fit
	openCases atomic.Int64
}

// New makes a gauge that knows nobody.
func NewDetector() *Detector {
	return &Detector{replicas: map[string]*replicaRecord{}, services: map[string]*serviceRecord{}, random: rand.Float64}
}

// Keep takes the replicas of the moment, each with its service.
func (g *Detector) SetReplicas(of map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		s.replicas = 0
	}
	for id, pool := range of {
		if g.replicas[id] == nil {
			g.replicas[id] = &replicaRecord{pool: pool}
		}
		if g.services[pool] == nil {
			g.services[pool] = &serviceRecord{}
		}
		g.services[pool].replicas++
	}
	for id := range g.replicas {
		if _, ok := of[id]; !ok {
			delete(g.replicas, id)
		}
	}
}

// room is how many of a service's replicas may be out by judgement at once: never all of them.
func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, n/ejectableOneIn)
}

// Fit tells whether a replica may be chosen now. A bold inquiry may be sent again if it fails: most trials of suspects are made with these.
func (g *Detector) Fitness(id string, bold bool, now time.Time) Fitness {
	if g.openCases.Load() == 0 {
		return Fit
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[id]
	switch {
	case r == nil:
		return Fit
	case now.Before(r.ejectedUntil), r.needsTrial && r.trialUnderWay:
		return Ejected
	case now.Before(r.suspectUntil) && (bold && g.random() >= suspectRetriableShare || !bold && g.random() >= suspectShare):
		return PassedOver
	}
	return Fit
}

// Sent notes that a shot goes to a replica; Over must follow.
func (g *Detector) RequestSent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[id]; r != nil {
		r.trialUnderWay = r.needsTrial
	}
}

// Over notes that a shot has ended, whatever came of it.
func (g *Detector) RequestEnded(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[id]; r != nil {
		r.trialUnderWay = false
	}
}

// Due is how long after sending a first word is overdue: far later than the prediction, or without one (0) than the service's answers take on average, and well after the aim: before it a busy replica may just have a line. ok is false while that isn't known.
func (g *Detector) OverdueAfter(id string, expect, aim time.Duration) (d time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[id]
	if r == nil {
		return 0, false
	}
	if expect <= 0 {
		s := g.services[r.pool]
		if s.answers < meanWindowAnswers {
			return 0, false
		}
		expect = time.Duration((s.meanSeconds) * float64(time.Second))
	}
	return max(time.Duration(overduePredictionFactor*float64(expect))+overdueMargin, time.Duration(overdueTargetFactor*float64(aim))), true
}

// Good notes that a replica's first word came, took after sending. overdue says that it was held against it already that it came late.
func (g *Detector) RecordSuccess(id string, took, expect time.Duration, overdue bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[id]
	if r == nil {
		return
	}
	r.needsTrial, r.trialUnderWay = false, false
	s := g.services[r.pool]
	if expect <= 0 {
		s.answers++
		s.meanSeconds += (took.Seconds() - s.meanSeconds) / float64(min(s.answers, meanWindowAnswers))
	}
	if !overdue {
		r.unreportedSuccesses++
	}
}

// Bad notes a failure of a replica.
func (g *Detector) RecordFailure(id string, k FailureKind, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[id]; r != nil {
		g.judge(r, k, now)
	}
}

func (g *Detector) judge(r *replicaRecord, k FailureKind, now time.Time) {
	s, w := g.services[r.pool], weights[k]
	others := 0.0
	if s.replicas > 1 {
		others = max(0, s.failures.decay(now, failureHalfLife)-r.failures.decay(now, failureHalfLife)) / float64(s.replicas-1)
	}
	r.failures.add(w, now, failureHalfLife)
	s.failures.add(w, now, failureHalfLife)
	r.unreportedFailures += w
	if now.Before(r.ejectedUntil) {
		return
	}
	need := ejectionThreshold
	if now.Before(r.suspectUntil) {
		need = suspectEjectionThreshold
	} else if k == Overdue && !r.needsTrial {
		return // a line at a busy replica looks the same from one node: the fleet's word is wanted too
	}
	judged := r.failures.value >= need && r.failures.value >= peerRatio*others
	if r.needsTrial {
		judged = k != StaleConnection
	}
	if k.ejectsAtOnce() || judged && g.ejectedByEvidence(r.pool, now) < maxEjected(s.replicas) {
		g.eject(r, !k.ejectsAtOnce(), now)
	}
}

func (g *Detector) ejectedByEvidence(pool string, now time.Time) (n int) {
	for _, r := range g.replicas {
		if r.pool == pool && r.byEvidence && now.Before(r.ejectedUntil) {
			n++
		}
	}
	return
}

// eject keeps shots away for a time that grows with the episodes of late. Beyond the part of a service that may be out it doesn't grow.
func (g *Detector) eject(r *replicaRecord, judged bool, now time.Time) {
	out := 0
	for _, x := range g.replicas {
		if x.pool == r.pool && now.Before(x.ejectedUntil) {
			out++
		}
	}
	d := FirstEjectionTime
	if out < maxEjected(g.services[r.pool].replicas) {
		n := math.Floor(r.episodes.decay(now, episodeHalfLife) + 0.5)
		d = min(maxEjectionTime, time.Duration(float64(d)*math.Exp2(min(n, 4))))
	}
	g.openCases.Inc()
	r.episodes.add(1, now, episodeHalfLife)
	r.ejectedUntil, r.byEvidence, r.needsTrial, r.trialUnderWay = now.Add(d), judged, true, false
}

// Suspected takes what control says of the whole fleet's experience: these replicas, and no others, are under suspicion for a while. Suspicion alone ejects nobody; it passes most shots by and lowers the own evidence needed.
func (g *Detector) SetSuspects(ids []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	on := map[string]bool{}
	for _, id := range ids {
		on[id] = true
	}
	for id, r := range g.replicas {
		switch {
		case on[id]:
			r.suspectUntil = now.Add(suspicionLifetime)
			g.openCases.Inc()
		default:
			r.suspectUntil = time.Time{}
		}
	}
}

// Report is what one node tells of one replica since the last time.
type Report struct {
	ReplicaID string  `json:"r"`
	Node      uint64  `json:"n"`
	Successes float64 `json:"g"`
	Failures  float64 `json:"b"`
}

// Words gives what is to be told and forgets it: failures, and for replicas under suspicion what went well too. In calm times there is none.
func (g *Detector) TakeReports(node uint64, now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ws []Report
	cases := int64(0)
	for id, r := range g.replicas {
		if r.needsTrial || now.Before(r.suspectUntil) {
			cases++
		}
		if r.unreportedFailures > 0 || r.unreportedSuccesses > 0 && now.Before(r.suspectUntil) {
			ws = append(ws, Report{id, node, r.unreportedSuccesses, r.unreportedFailures})
		}
		r.unreportedSuccesses, r.unreportedFailures = 0, 0
	}
	g.openCases.Store(cases)
	sort.Slice(ws, func(i, j int) bool {
		return ws[i].Failures > ws[j].Failures || ws[i].Failures == ws[j].Failures && ws[i].ReplicaID < ws[j].ReplicaID
	})
	return ws[:min(len(ws), maxReports)]
}

// Stat is one replica on the state page.
type ReplicaStats struct {
	Failures  float64 `json:"failures_faded"`
	Ejected   bool    `json:"ejected"`
	Trial     bool    `json:"trial"`
	Suspected bool    `json:"suspected"`
	Episodes  float64 `json:"episodes_faded"`
}

// Stats tells of the replicas that anything is held against.
func (g *Detector) Stats(now time.Time) map[string]ReplicaStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]ReplicaStats{}
	for id, r := range g.replicas {
		s := ReplicaStats{r.failures.decay(now, failureHalfLife), now.Before(r.ejectedUntil), r.needsTrial, now.Before(r.suspectUntil), r.episodes.decay(now, episodeHalfLife)}
		if s.Failures > negligibleSum || s.Episodes > negligibleSum || s.Ejected || s.Suspected {
			m[id] = s
		}
	}
	return m
}
