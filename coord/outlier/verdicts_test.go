package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func pool(id string) string {
	if id == "nobody" {
		return ""
	}
	return "p"
}

func TestOneNodesWordIsNeverEnough(t *testing.T) {
	j, size := NewAggregator(), map[string]int{"p": 20}
	j.AddReports([]Report{{"r1", 1, 0, 50}, {"nobody", 2, 0, 50}, {"r2", 1, 0, math.NaN()}, {"r2", 2, 0, 1e9}, {"r2", 3, 0, -5}}, pool, at(0))
	ids, news := j.Evaluate(size, at(0))
	require.Empty(t, ids)
	require.False(t, news)
	j.AddReports([]Report{{"r1", 2, 0, 1}}, pool, at(0.1))
	ids, news = j.Evaluate(size, at(0.1))
	require.Equal(t, []string{"r1"}, ids)
	require.True(t, news)
	_, news = j.Evaluate(size, at(0.2))
	require.False(t, news, "told once")
	_, news = j.Evaluate(size, at(0.2).Add(suspicionLifetime/2))
	require.True(t, news, "and again before it runs out")
}

func TestASuspicionEndsByAnswersThatWorkOrByItsTime(t *testing.T) {
	size := map[string]int{"p": 20}
	start := func() *Aggregator {
		j := NewAggregator()
		j.AddReports([]Report{{"r1", 1, 0, 3}, {"r1", 2, 0, 3}}, pool, at(0))
		ids, _ := j.Evaluate(size, at(0))
		require.Len(t, ids, 1)
		return j
	}
	j := start()
	j.AddReports([]Report{{"r1", 1, 3, 3}, {"r1", 2, 4, 2}}, pool, at(1))
	ids, _ := j.Evaluate(size, at(1))
	require.Len(t, ids, 1, "half of them fail")
	j = start()
	j.AddReports([]Report{{"r1", 1, clearingSuccesses, 0}}, pool, at(1))
	ids, news := j.Evaluate(size, at(1))
	require.Empty(t, ids)
	require.True(t, news)
	j = start()
	ids, _ = j.Evaluate(size, at(0).Add(maxSuspicionTime))
	require.Empty(t, ids)
	j = start()
	j.Reset()
	ids, _ = j.Evaluate(size, at(0.1))
	require.Empty(t, ids)
	j = start()
	ids, _ = j.Evaluate(map[string]int{}, at(0.1))
	require.Empty(t, ids, "its service is gone")
}

func TestRandomTroublesNeverMakeMoreThanAPartSuspect(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		n := 1 + r.IntN(40)
		j, size := NewAggregator(), map[string]int{"p": n}
		for step := range 100 {
			now := at(float64(step) * 0.4)
			for range r.IntN(30) {
				j.AddReports([]Report{{fmt.Sprintf("r%d", r.IntN(n)), uint64(r.IntN(6)), r.Float64() * 3, r.Float64() * 10 * float64(r.IntN(2))}}, pool, now)
			}
			ids, _ := j.Evaluate(size, now)
			require.LessOrEqual(t, len(ids), max(1, n/ejectableOneIn))
			require.True(t, len(ids) < n || n == 0)
		}
	}
}

func TestFailuresThatAllShareMakeNobodySuspect(t *testing.T) {
	j, size := NewAggregator(), map[string]int{"p": 10}
	for i := range 10 {
		j.AddReports([]Report{{fmt.Sprintf("r%d", i), 1, 0, 5}, {fmt.Sprintf("r%d", i), 2, 0, 5}}, pool, at(0))
	}
	ids, _ := j.Evaluate(size, at(0))
	require.Empty(t, ids)
}

// The fleet finds grey replicas though each node sees next to nothing of them, and lets them back when they work again.
func TestAFleetFindsGreyReplicasAndLetsThemBack(t *testing.T) {
	for seed := range uint64(5) {
		grey(t, seed)
	}
}

func grey(t *testing.T, seed uint64) {
	const nodes, reps, grey = 88, 89, 12
	r := rand.New(rand.NewPCG(seed, 9))
	of := map[string]string{}
	for i := range reps {
		of[fmt.Sprintf("r%d", i)] = "p"
	}
	var gs []*Detector
	for range nodes {
		g := NewDetector()
		g.SetReplicas(of)
		g.random = r.Float64
		gs = append(gs, g)
	}
	j, size := NewAggregator(), map[string]int{"p": reps}
	fails := func(from, to float64) (bad, all, greyGot int) {
		for s := from; s < to; s += 0.001 { // a shot each ms
			now := at(s)
			g := gs[r.IntN(nodes)]
			id := ""
			for id == "" {
				if x := fmt.Sprintf("r%d", r.IntN(reps)); g.Fitness(x, r.IntN(8) == 0, now) == Fit {
					id = x
				}
			}
			var k int
			_, _ = fmt.Sscanf(id, "r%d", &k)
			all++
			g.RequestSent(id)
			if k < grey {
				greyGot++
			}
			if k < grey && s < 10 && r.Float64() < 0.45 {
				bad++
				g.RecordFailure(id, ServerError, now)
			} else {
				g.RecordSuccess(id, 50*time.Millisecond, 50*time.Millisecond, false, now)
			}
			g.RequestEnded(id)
			if int(s*1000)%400 == 0 {
				for i, x := range gs {
					j.AddReports(x.TakeReports(uint64(i), now), pool, now)
				}
				if ids, news := j.Evaluate(size, now); news {
					for _, x := range gs {
						x.SetSuspects(ids, now)
					}
				}
			}
		}
		return
	}
	first, _, _ := fails(0, 1)
	later, _, _ := fails(3, 10)
	require.Greater(t, first, 25)
	require.Less(t, later, 7*first/2, "per second half at most")
	_, _, _ = fails(10, 25)
	bad, all, got := fails(25, 30)
	require.Zero(t, bad)
	require.Greater(t, got*reps, all*grey*3/4, "they take their part again")
}
