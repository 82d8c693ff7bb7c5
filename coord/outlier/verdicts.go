package outlier

import (
	"slices"
	"sort"
	"sync"
	"time"
)

type suspicion struct {
	pool                string
	failureSum          decayingSum
	reporters           map[uint64]time.Time
	since               time.Time // of the suspicion; zero if there is none
	successes, failures float64   // since then
	episodes            decayingSum
}

// Verdicts is the control primary's: it adds up what the nodes tell. One node's word is never enough for a suspicion, a suspicion ends by answers that work, or by its time.
type Aggregator struct {
	mu          sync.Mutex
	suspicions  map[string]*suspicion
	published   []string
	publishedAt time.Time
}

// NewJury makes a jury without a case.
func NewAggregator() *Aggregator { return &Aggregator{suspicions: map[string]*suspicion{}} }

// Hear takes words; pool gives a replica's service, empty if it isn't known.
func (j *Aggregator) AddReports(ws []Report, pool func(id string) string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range ws {
		p := pool(w.ReplicaID)
		if p == "" || !(w.Failures >= 0) || !(w.Successes >= 0) || w.Failures+w.Successes > maxReportedRequests {
			continue
		}
		c := j.suspicions[w.ReplicaID]
		if c == nil {
			c = &suspicion{pool: p, reporters: map[uint64]time.Time{}}
			j.suspicions[w.ReplicaID] = c
		}
		if w.Failures > 0 {
			c.failureSum.add(w.Failures, now, reportHalfLife)
			c.reporters[w.Node] = now
		}
		if !c.since.IsZero() {
			c.successes += w.Successes
			c.failures += w.Failures
		}
	}
}

// Verdict gives the replicas under suspicion; size tells how many a service has. News is true when it must be told: it changed, or the last telling runs out.
func (j *Aggregator) Evaluate(size map[string]int, now time.Time) (ids []string, news bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sum, held := map[string]float64{}, map[string]int{}
	var fresh []string
	for id, c := range j.suspicions {
		if size[c.pool] == 0 {
			delete(j.suspicions, id)
			continue
		}
		sum[c.pool] += c.failureSum.decay(now, reportHalfLife)
		for n, at := range c.reporters {
			if now.Sub(at) > reporterLifetime {
				delete(c.reporters, n)
			}
		}
		if !c.since.IsZero() && (c.cleared() || now.Sub(c.since) >= maxSuspicionTime) {
			c.since, c.failureSum, c.reporters = time.Time{}, decayingSum{}, map[uint64]time.Time{}
		}
		switch {
		case !c.since.IsZero():
			held[c.pool]++
			ids = append(ids, id)
		case c.failureSum.value < negligibleSum && c.episodes.decay(now, episodeHalfLife) < negligibleSum:
			delete(j.suspicions, id)
		default:
			fresh = append(fresh, id)
		}
	}
	sort.Slice(fresh, func(a, b int) bool {
		x, y := j.suspicions[fresh[a]], j.suspicions[fresh[b]]
		return x.failureSum.value > y.failureSum.value || x.failureSum.value == y.failureSum.value && fresh[a] < fresh[b]
	})
	for _, id := range fresh {
		c := j.suspicions[id]
		n := size[c.pool]
		others := (sum[c.pool] - c.failureSum.value) / float64(max(1, n-1))
		if c.failureSum.value >= suspicionThreshold && len(c.reporters) >= minReporters && c.failureSum.value >= peerRatio*others && held[c.pool] < maxEjected(n) {
			c.since, c.successes, c.failures = now, 0, 0
			c.episodes.add(1, now, episodeHalfLife)
			held[c.pool]++
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	news = !slices.Equal(ids, j.published) || len(ids) > 0 && now.Sub(j.publishedAt) >= suspicionLifetime/2
	if news {
		j.published, j.publishedAt = ids, now
	}
	return ids, news
}

// acquitted tells whether enough answers worked since the suspicion; after several episodes more are wanted.
func (c *suspicion) cleared() bool {
	need := clearingSuccesses * max(1, min(c.episodes.value, 3))
	return c.successes >= need && c.failures <= clearingFailureShare*c.successes
}

// Told gives the replicas under suspicion as they were told last.
func (j *Aggregator) Published() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.published
}

// Clear drops all cases: another primary has heard what came meanwhile.
func (j *Aggregator) Reset() {
	j.mu.Lock()
	j.suspicions, j.published = map[string]*suspicion{}, nil
	j.mu.Unlock()
}
