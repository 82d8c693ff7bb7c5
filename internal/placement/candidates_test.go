package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

// full is the choice that weighs every replica.
func full(y *Placer, a *Request, now time.Time) (best *candidate) {
	p := y.pools[a.Pool]
	var s candidateSet
	y.addHomes(&s, p, a, now)
	expect := map[*replicaState]int{}
	for _, c := range s.items[:s.count] {
		expect[c.replica] = c.expectedTokens
	}
	for _, b := range p.all {
		if !y.isWarm(a, b, now) {
			continue
		}
		c := &candidate{replica: b, matchedTokens: y.index.Matched(b.replica.ID, a.Chain), expectedTokens: expect[b]}
		if c.cost = y.cost(c, p, a, now); best == nil || c.cost < best.cost {
			best = c
		}
	}
	return
}

// drive plays traffic of a few thousand prompts over a yard and tells how often the choice was the full scan's, how much more it cost then on average, and the mean cost.
func drive(t *testing.T, replicas, prompts int, gap time.Duration) (same, over, mean float64) {
	r := rand.New(rand.NewPCG(uint64(replicas), 9))
	synctest.Test(t, func(t *testing.T) {
		x := prefixindex.NewIndex()
		y := NewPlacer(x)
		y.SetReplicas(fleet(replicas), nil, 0)
		for _, b := range y.replicas {
			b.prefillPerToken = 9e-6
		}
		y.prefillPerToken = 9e-6
		var n, sum, extra float64
		for i := range prompts {
			first := 1 + r.Uint64N(20)
			parts := []prefixindex.Part{{ID: first, Tokens: 300 + int(first)*8}, {ID: 100 + r.Uint64N(2000), Tokens: 100 + r.IntN(4000)}, {ID: 1e9 + uint64(i), Tokens: 200 + r.IntN(8000)}}
			c := prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
			a := ask(c)
			a.CapacityTokens, a.MaxOutputTokens = 400000, 300
			now := time.Now()
			y.mu.Lock()
			a.sharedWeight = y.options.sharedBlockWeight(a, y.prefillPerToken)
			best := full(y, a, now)
			y.mu.Unlock()
			got, ok := y.Place(a)
			require.True(t, ok)
			y.mu.Lock()
			b := y.replicas[got.Replica.ID]
			y.mu.Unlock()
			if i > prompts/4 { // once the index knows something
				n++
				sum += best.cost
				if b == best.replica {
					same++
				}
			}
			if i > prompts/4 && b != best.replica {
				y.mu.Lock()
				y.undo(a, b)
				var h candidateSet
				y.addHomes(&h, y.pools["p"], a, now)
				cc := candidate{replica: b, matchedTokens: got.MatchedTokens}
				for _, o := range h.items[:h.count] {
					if o.replica == b {
						cc.expectedTokens = o.expectedTokens
					}
				}
				extra += y.cost(&cc, y.pools["p"], a, now) - best.cost
				y.redo(a, b)
				y.mu.Unlock()
			}
			x.RecordSent(got.Replica.ID, a.CapacityTokens, c, "p")
			e := &Attempt{ReplicaID: got.Replica.ID, Chain: c, MatchedTokens: got.MatchedTokens, MaxOutputTokens: a.MaxOutputTokens}
			read := baseTTFT + time.Duration(float64(c.Tokens()-got.MatchedTokens)*9e3)
			hold, runs := time.Duration(r.IntN(2000))*time.Millisecond, float64(r.IntN(5))
			go func() {
				time.Sleep(read)
				y.UpdateLoad(e.ReplicaID, runs, 0, 8)
				y.FirstToken(e, read, got.PredictedTTFT)
				time.Sleep(hold)
				y.Release(e)
			}()
			time.Sleep(time.Duration(float64(gap) * r.ExpFloat64()))
		}
		time.Sleep(10 * time.Second)
		same, over, mean = same/n, extra/max(1, n-same), sum/n
	})
	return
}

// undo and redo take an inquiry's own weight off a replica and put it back, to weigh it as it was before.
func (y *Placer) undo(a *Request, b *replicaState) { y.shift(a, b, -1) }
func (y *Placer) redo(a *Request, b *replicaState) { y.shift(a, b, 1) }
func (y *Placer) shift(a *Request, b *replicaState, by int) {
	n := float64(a.Chain.Tokens() - y.index.Matched(b.replica.ID, a.Chain))
	b.inflight += by
	b.pendingTokens += float64(by) * n
	b.heldTokens += float64(by) * float64(a.Chain.Tokens()+a.MaxOutputTokens)
}

func TestTheFewCandidatesHoldTheFullScansChoiceNearlyAlways(t *testing.T) {
	for _, x := range []struct {
		replicas int
		gap      time.Duration
		least    float64
	}{{9, 40 * time.Millisecond, 0.9}, {90, 4 * time.Millisecond, 0.9}, {90, 100 * time.Millisecond, 0.95}, {1500, time.Millisecond, 0.9}} {
		same, over, mean := drive(t, x.replicas, 1500, x.gap)
		t.Logf("%d replicas, a prompt each %v: same choice %.3f; else %.1f decode blocks dearer, of %.0f", x.replicas, x.gap, same, over, mean)
		require.Greater(t, same, x.least)
		require.Less(t, over*(1-same), 0.02*mean)
	}
}

func TestBucketsKeepTheirOrderThroughChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 3))
	y := NewPlacer(prefixindex.NewIndex())
	rs := fleet(200)
	y.SetReplicas(rs, nil, 0)
	for round := range 30 {
		for k := range 50 {
			y.pools["p"].homeBucket(prefixindex.Key(k))
		}
		next := map[string]*state.Replica{}
		for id, x := range rs {
			if r.IntN(20) > 0 {
				next[id] = x
			}
		}
		for i := range r.IntN(12) {
			id := fmt.Sprintf("n%d-%d", round, i)
			next[id] = &state.Replica{ID: id, Pool: "p", State: "ready", Zone: "a", Slots: 8}
		}
		rs = next
		y.SetReplicas(rs, nil, 0)
		fresh := NewPlacer(prefixindex.NewIndex())
		fresh.SetReplicas(rs, nil, 0)
		for k := range 50 {
			var got, want []string
			for _, b := range y.pools["p"].homeBucket(prefixindex.Key(k)) {
				got = append(got, b.replica.ID)
			}
			for _, b := range fresh.pools["p"].homeBucket(prefixindex.Key(k)) {
				want = append(want, b.replica.ID)
			}
			require.Equal(t, want, got)
		}
	}
}

func TestHomesSpreadEvenly(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	y.SetReplicas(fleet(90), nil, 0)
	at := map[string]int{}
	for doc := range uint64(20000) {
		var s candidateSet
		y.addHomes(&s, y.pools["p"], ask(chain(10+doc, 50)), time.Now())
		require.Equal(t, homesPerChain, s.count)
		at[s.items[0].replica.replica.ID]++
	}
	for id := range y.replicas {
		require.InDelta(t, 20000/90.0, at[id], 20000/90.0*0.4, id)
	}
}

func TestWarmBeforeColdAlsoWhenHardlyAnyIsWarm(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	rs := fleet(300)
	for id, r := range rs {
		if id != "r123" {
			r.WarmupLeftMs = 1000
		}
	}
	y.SetReplicas(rs, nil, 0)
	for i := range 30 {
		a := ask(nil)
		if i%2 == 0 {
			a = ask(chain(uint64(i), 50))
		}
		c, ok := y.Place(a)
		require.True(t, ok)
		require.Equal(t, "r123", c.Replica.ID)
		require.False(t, c.WarmingUp)
	}
	y.Health().RecordFailure("r123", outlier.Timeout, time.Now())
	c, ok := y.Place(ask(chain(1, 50)))
	require.True(t, ok)
	require.True(t, c.WarmingUp)
}

func TestAllOthersExcludedTheOneLeftIsFound(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	y.SetReplicas(fleet(500), nil, 0)
	for _, c := range []*prefixindex.Chain{nil, chain(3, 50)} {
		a := ask(c)
		for id := range fleet(500) {
			if id != "r77" {
				a.Excluded[id] = true
			}
		}
		got, ok := y.Place(a)
		require.True(t, ok)
		require.Equal(t, "r77", got.Replica.ID)
		a.Excluded["r77"] = true
		_, ok = y.Place(a)
		require.False(t, ok)
		a.Excluded = nil
		a.AllowsZone = func(loc string) bool { return loc == "b" }
		got, ok = y.Place(a)
		require.True(t, ok)
		require.Equal(t, "b", got.Replica.Zone)
	}
}

func TestWhatAReplicaKeepsEndsWithItsLifeItsWeightsOrItsDrain(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewPlacer(x)
	y.SetReplicas(fleet(3), nil, 0)
	c := chain(7, 100)
	keep := func(id string) {
		for range prefixindex.MinSightings {
			x.RecordSent(id, 100000, c, "p")
		}
		require.NotZero(t, x.Matched(id, c))
	}
	for _, id := range []string{"r0", "r1", "r2"} {
		keep(id)
	}
	rs := fleet(3)
	rs["r0"].Models = []state.Model{{Name: "m", Revision: 2}}
	rs["r1"].State = "draining"
	y.SetReplicas(rs, map[string]bool{"c": true}, 0)
	require.Zero(t, x.Matched("r0", c), "other weights")
	require.Zero(t, x.Matched("r1", c), "it will not come back")
	require.NotZero(t, x.Matched("r2", c), "an evacuated locality comes back with what it kept")
	y.Health().RecordFailure("r2", outlier.Timeout, time.Now())
	require.NotZero(t, x.Matched("r2", c), "a failure is no word on what is kept")
	y.MarkMisaddressed("r2")
	require.Zero(t, x.Matched("r2", c), "another lives at its address")
	require.Equal(t, 1, y.OpenCount("p"))
	keep("r0")
	delete(rs, "r0")
	rs["r0b"] = &state.Replica{ID: "r0b", Pool: "p", State: "ready", Zone: "a", Slots: 8}
	y.SetReplicas(rs, nil, 0)
	require.Zero(t, x.Matched("r0", c))
	require.Zero(t, x.Matched("r0b", c), "a new life is an empty one")
}

func TestRunningRequestsPushKeptPartsOut(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewPlacer(x)
	y.SetReplicas(fleet(1), nil, 0)
	c := chain(7, 100)
	for range prefixindex.MinSightings {
		_, _ = y.Place(ask(c))
		x.RecordSent("r0", 4000, c, "p")
	}
	require.NotZero(t, x.Matched("r0", c))
	y.mu.Lock()
	y.pools["p"].meanHeldTokens = 600
	y.mu.Unlock()
	y.UpdateLoad("r0", 2, 0, 8)
	require.NotZero(t, x.Matched("r0", c))
	y.UpdateLoad("r0", 8, 0, 8)
	require.Zero(t, x.Matched("r0", c))
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{90, 1500} {
		for _, kind := range []string{"prompt", "plain"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				x := prefixindex.NewIndex()
				y := NewPlacer(x)
				y.SetReplicas(fleet(n), nil, 0)
				r := rand.New(rand.NewPCG(1, 2))
				var as []*Request
				for i := range 4096 {
					a := ask(nil)
					if kind == "prompt" {
						first := r.Uint64N(20)
						a = ask(prefixindex.NewChain(prefixindex.RootKey("m", 1), []prefixindex.Part{{ID: first, Tokens: 340}, {ID: 100 + first*100 + r.Uint64N(100), Tokens: 500}, {ID: 1e9 + uint64(i), Tokens: 2000}}))
					}
					as = append(as, a)
				}
				for _, a := range as { // homes and index as they are after a while
					if c, ok := y.Place(a); ok {
						x.RecordSent(c.Replica.ID, 400000, a.Chain, "p")
						y.Release(&Attempt{ReplicaID: c.Replica.ID, Chain: a.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: a.MaxOutputTokens})
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					a := as[i%len(as)]
					c, _ := y.Place(a)
					y.Release(&Attempt{ReplicaID: c.Replica.ID, Chain: a.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: a.MaxOutputTokens})
				}
			})
		}
	}
}
