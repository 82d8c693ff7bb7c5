package outlier

import (
	"slices"
	"sort"
	"sync"
	"time"
)

type hearing struct {
	pool       string
	bad        fading
	tellers    map[uint64]time.Time
	since      time.Time // of the suspicion; zero if there is none
	good, fail float64   // since then
	episodes   fading
}

// Verdicts is the control primary's: it adds up what the nodes tell. One node's word is never enough for a suspicion, a suspicion ends by answers that work, or by its time.
type Verdicts struct {
	mu   sync.Mutex
	c    map[string]*hearing
	told []string
	at   time.Time
}

// NewJury makes a jury without a case.
func NewJury() *Verdicts { return &Verdicts{c: map[string]*hearing{}} }

// Hear takes words; pool gives a replica's service, empty if it isn't known.
func (j *Verdicts) Hear(ws []Report, pool func(id string) string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range ws {
		p := pool(w.ID)
		if p == "" || !(w.Bad >= 0) || !(w.Good >= 0) || w.Bad+w.Good > wordMost {
			continue
		}
		c := j.c[w.ID]
		if c == nil {
			c = &hearing{pool: p, tellers: map[uint64]time.Time{}}
			j.c[w.ID] = c
		}
		if w.Bad > 0 {
			c.bad.add(w.Bad, now, juryHalf)
			c.tellers[w.Node] = now
		}
		if !c.since.IsZero() {
			c.good += w.Good
			c.fail += w.Bad
		}
	}
}

// Verdict gives the replicas under suspicion; size tells how many a service has. News is true when it must be told: it changed, or the last telling runs out.
func (j *Verdicts) Verdict(size map[string]int, now time.Time) (ids []string, news bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sum, held := map[string]float64{}, map[string]int{}
	var fresh []string
	for id, c := range j.c {
		if size[c.pool] == 0 {
			delete(j.c, id)
			continue
		}
		sum[c.pool] += c.bad.now(now, juryHalf)
		for n, at := range c.tellers {
			if now.Sub(at) > tellerSpan {
				delete(c.tellers, n)
			}
		}
		if !c.since.IsZero() && (c.acquitted() || now.Sub(c.since) >= suspectMost) {
			c.since, c.bad, c.tellers = time.Time{}, fading{}, map[uint64]time.Time{}
		}
		switch {
		case !c.since.IsZero():
			held[c.pool]++
			ids = append(ids, id)
		case c.bad.n < statLeast && c.episodes.now(now, episodeHalf) < statLeast:
			delete(j.c, id)
		default:
			fresh = append(fresh, id)
		}
	}
	sort.Slice(fresh, func(a, b int) bool {
		x, y := j.c[fresh[a]], j.c[fresh[b]]
		return x.bad.n > y.bad.n || x.bad.n == y.bad.n && fresh[a] < fresh[b]
	})
	for _, id := range fresh {
		c := j.c[id]
		n := size[c.pool]
		others := (sum[c.pool] - c.bad.n) / float64(max(1, n-1))
		if c.bad.n >= suspectNeed && len(c.tellers) >= tellersLeast && c.bad.n >= peerTimes*others && held[c.pool] < room(n) {
			c.since, c.good, c.fail = now, 0, 0
			c.episodes.add(1, now, episodeHalf)
			held[c.pool]++
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	news = !slices.Equal(ids, j.told) || len(ids) > 0 && now.Sub(j.at) >= suspectSpan/2
	if news {
		j.told, j.at = ids, now
	}
	return ids, news
}

// acquitted tells whether enough answers worked since the suspicion; after several episodes more are wanted.
func (c *hearing) acquitted() bool {
	need := acquitGood * max(1, min(c.episodes.n, 3))
	return c.good >= need && c.fail <= acquitPart*c.good
}

// Told gives the replicas under suspicion as they were told last.
func (j *Verdicts) Told() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.told
}

// Clear drops all cases: another primary has heard what came meanwhile.
func (j *Verdicts) Clear() {
	j.mu.Lock()
	j.c, j.told = map[string]*hearing{}, nil
	j.mu.Unlock()
}
