package outlier

import (
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// maxReportedRequests is how many requests one report can count; one that says more is invalid and is dropped.
	maxReportedRequests = 1e4
	// reportHalfLife is the time over which the sum of reported failures halves.
	reportHalfLife = 2 * time.Second
	// reporterLifetime is how long a node counts as one that reported.
	reporterLifetime = 3 * time.Second
	// minReporters is the number of nodes whose reports a suspicion needs: one node may itself be the cause.
	minReporters = 2
	// suspicionThreshold is the sum of reported failures that makes a suspect: two server errors, as by two nodes.
	suspicionThreshold = 1.2
	// maxSuspicionTime bounds a suspicion; a new one needs new failures.
	maxSuspicionTime = 10 * time.Second
	// clearingSuccesses is the number of answers after which a suspicion ends early.
	clearingSuccesses = 5.0
	// maxEpisodeFactor bounds the factor by which that number grows with the recent suspicions.
	maxEpisodeFactor = 3
	// clearingFailureShare is the failures, as a fraction of the successes, up to which it still ends early.
	clearingFailureShare = 0.15
)

// suspicion is what the nodes reported of one replica, whether that makes it a suspect yet or not.
type suspicion struct {
	service    string
	failureSum decayingSum          // weighted by kind, over reportHalfLife
	reporters  map[uint64]time.Time // nodes that reported failures, and when last
	since      time.Time            // since when it is a suspect; zero: it is none
	successes  float64              // since then
	failures   float64              // since then
	episodes   decayingSum          // times that it became a suspect, over episodeHalfLife
}

func (s *suspicion) isSuspect() bool { return !s.since.IsZero() }

// isCleared reports whether enough answers came since it became a suspect; after several episodes more
// answers are needed.
func (s *suspicion) isCleared() bool {
	needed := clearingSuccesses * max(1, min(s.episodes.value, maxEpisodeFactor))
	return s.successes >= needed && s.failures <= clearingFailureShare*s.successes
}

// Aggregator adds up the reports of the nodes and names suspects. It runs on one process of the fleet at a time. One
// node's reports are never enough for a suspicion; it ends by answers, or after maxSuspicionTime. Make it with [NewAggregator].
// All methods are safe for concurrent use.
type Aggregator struct {
	mu          sync.Mutex            // guards the fields below
	suspicions  map[string]*suspicion // by replica
	published   []string              // the suspects that were to be published last, sorted
	publishedAt time.Time
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{suspicions: map[string]*suspicion{}} }

// AddReports takes reports of nodes. serviceOf returns a replica's service, empty if the replica isn't known; it is called
// with the aggregator locked. Reports of unknown replicas and invalid ones are dropped.
func (a *Aggregator) AddReports(reports []Report, serviceOf func(replica string) string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, report := range reports {
		service := serviceOf(report.ReplicaID)
		if service == "" || !report.isValid() {
			continue
		}
		found := a.suspicions[report.ReplicaID]
		if found == nil {
			found = &suspicion{service: service, reporters: map[uint64]time.Time{}}
			a.suspicions[report.ReplicaID] = found
		}
		if report.Failures > 0 {
			found.failureSum.add(report.Failures, now, reportHalfLife)
			found.reporters[report.Node] = now
		}
		if found.isSuspect() {
			found.successes += report.Successes
			found.failures += report.Failures
		}
	}
}

// isValid reports whether the counts are numbers that a node can have seen; the comparisons are false for NaN.
func (r *Report) isValid() bool {
	return r.Failures >= 0 && r.Successes >= 0 && r.Failures+r.Successes <= maxReportedRequests
}

// Suspects is what an evaluation found.
type Suspects struct {
	IDs     []string // sorted; not to be changed
	Publish bool     // the nodes must be sent them: they changed, or what was sent last is about to expire
}

// survey is what one evaluation found, after the suspicions that have ended were dropped.
type survey struct {
	failures   map[string]float64 // by service, the sum over its replicas
	suspects   map[string]int     // by service
	ids        []string           // of the suspects
	candidates []string           // ids of the others
}

// Evaluate ends and begins suspicions. sizes is the number of replicas of each service; suspicions of a service
// that has none are dropped.
func (a *Aggregator) Evaluate(sizes map[string]int, now time.Time) Suspects {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.endSuspicions(sizes, now)
	a.beginSuspicions(found, sizes, now)
	sort.Strings(found.ids)
	repeat := len(found.ids) > 0 && now.Sub(a.publishedAt) >= suspicionLifetime/2
	publish := repeat || !slices.Equal(found.ids, a.published)
	if publish {
		a.published, a.publishedAt = found.ids, now
	}
	return Suspects{IDs: found.ids, Publish: publish}
}

// endSuspicions ends what is cleared or has lasted its time and forgets what is negligible.
func (a *Aggregator) endSuspicions(sizes map[string]int, now time.Time) *survey {
	found := &survey{failures: map[string]float64{}, suspects: map[string]int{}}
	for id, current := range a.suspicions {
		if sizes[current.service] == 0 {
			delete(a.suspicions, id)
			continue
		}
		found.failures[current.service] += current.failureSum.decay(now, reportHalfLife)
		current.expireReporters(now)
		if current.isSuspect() && (current.isCleared() || now.Sub(current.since) >= maxSuspicionTime) {
			current.since, current.failureSum = time.Time{}, decayingSum{}
			current.reporters = map[uint64]time.Time{}
		}
		switch {
		case current.isSuspect():
			found.suspects[current.service]++
			found.ids = append(found.ids, id)
		case current.failureSum.value < negligibleSum && current.episodes.decay(now, episodeHalfLife) < negligibleSum:
			delete(a.suspicions, id)
		default:
			found.candidates = append(found.candidates, id)
		}
	}
	return found
}

func (s *suspicion) expireReporters(now time.Time) {
	for node, at := range s.reporters {
		if now.Sub(at) > reporterLifetime {
			delete(s.reporters, node)
		}
	}
}

// beginSuspicions makes suspects of the candidates against which there is enough evidence, the worst first, up to
// maxEjected of each service.
func (a *Aggregator) beginSuspicions(found *survey, sizes map[string]int, now time.Time) {
	sort.Slice(found.candidates, func(i, j int) bool {
		first, second := found.candidates[i], found.candidates[j]
		x, y := a.suspicions[first].failureSum.value, a.suspicions[second].failureSum.value
		return x > y || x == y && first < second
	})
	for _, id := range found.candidates {
		candidate := a.suspicions[id]
		size := sizes[candidate.service]
		peers := (found.failures[candidate.service] - candidate.failureSum.value) / float64(max(1, size-1))
		if !candidate.exceedsSuspicionThreshold(peers) || found.suspects[candidate.service] >= maxEjected(size) {
			continue
		}
		candidate.since, candidate.successes, candidate.failures = now, 0, 0
		candidate.episodes.add(1, now, episodeHalfLife)
		found.suspects[candidate.service]++
		found.ids = append(found.ids, id)
	}
}

// exceedsSuspicionThreshold reports whether the evidence is enough for a suspicion, given the mean of its peers.
func (s *suspicion) exceedsSuspicionThreshold(peers float64) bool {
	failures := s.failureSum.value
	return failures >= suspicionThreshold && len(s.reporters) >= minReporters && failures >= peerRatio*peers
}

// Published returns the suspects that were to be published last, sorted; nil if there are none. It is not to be changed.
func (a *Aggregator) Published() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.published
}

// Reset drops all suspicions. Call it when this process takes the role of the aggregator over: until then the reports
// went to another one, so what is here is out of date.
func (a *Aggregator) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspicions, a.published = map[string]*suspicion{}, nil
}
