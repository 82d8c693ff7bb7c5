package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"shaletrestle/internal/durations"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/prefixindex"
)

// reference counts a prompt's blocks one token after the other and adds the source's terms up as they are written there.
func reference(parts []prefixindex.Part, block, kept int, weight, scale, active, decode, out, requests float64) float64 {
	total, shared := 0, 0
	for i, p := range parts {
		for range p.Tokens {
			total++
			if i < len(parts)-1 {
				shared++
			}
		}
	}
	incoming, credit := 0.0, 0.0
	for at := 0; at < total; at += block {
		w := 1.0
		if at+block <= shared {
			w = weight
		}
		incoming += w
		if at+block <= kept {
			credit += w
		}
	}
	adjusted := active + incoming - credit
	if adjusted < 0 {
		adjusted = 0
	}
	held := math.Ceil((float64(total) + out) / float64(block))
	return scale*adjusted + decode + held + requests
}

func TestCostIsTheSources(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		o := Defaults()
		o.BlockTokens = 1 + r.IntN(40)
		o.RereadWeight = 1 + 8*r.Float64()
		o.PrefillLoadScale = 100 * r.Float64()
		o.OtherZoneBlocks = 0
		y := NewPlacer(prefixindex.NewIndex())
		y.Configure(o)
		y.SetReplicas(fleet(1), nil, 0)
		var parts []prefixindex.Part
		for range 1 + r.IntN(5) {
			parts = append(parts, prefixindex.Part{ID: r.Uint64(), Tokens: r.IntN(500)})
		}
		c := prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
		a := ask(c)
		a.MaxOutputTokens, a.CapacityTokens, a.sharedWeight = r.IntN(300), 0, 1+r.Float64()*(o.RereadWeight-1)
		b := y.replicas["r0"]
		b.pendingTokens, b.heldTokens, b.inflight = float64(r.IntN(5000)), float64(r.IntN(90000)), r.IntN(6)
		kept := r.IntN(c.Tokens()+1) / o.BlockTokens * o.BlockTokens
		x := candidate{replica: b, matchedTokens: kept}
		want := reference(parts, o.BlockTokens, kept, a.sharedWeight, o.PrefillLoadScale, b.pendingTokens/float64(o.BlockTokens), b.heldTokens/float64(o.BlockTokens), float64(a.MaxOutputTokens), o.ActiveWeight*float64(b.inflight))
		require.InDelta(t, want, y.cost(&x, y.pools["p"], a, time.Now()), 1e-6*max(1, want))
	}
}

func TestCreditNeverTurnsACostNegative(t *testing.T) {
	l := costTerms{ActivePrefill: 3, IncomingPrompt: 10, OverlapCredit: 40, ActiveDecode: 2, IncomingActive: 11, PrefillScale: 5}
	require.Equal(t, 13.0, l.cost())
}

func TestCreditDecaysUnderALine(t *testing.T) {
	o := Defaults()
	o.CreditDecayBlocks = 100
	require.Equal(t, 50.0, o.decayedCredit(100, 100))
	require.Equal(t, 100.0, o.decayedCredit(100, 0))
	o.CreditDecayBlocks = 0
	require.Equal(t, 100.0, o.decayedCredit(100, 1e9))
}

func TestAPromptInAHurryWeighsSharedBlocksOnce(t *testing.T) {
	o := Defaults()
	a := ask(chain(7, 10))
	slack := 1 - (10*35e-6+baseTTFT.Seconds())/a.LatencyTarget.Seconds()
	require.InDelta(t, 1+(o.RereadWeight-1)*slack, o.sharedBlockWeight(a, 35e-6), 1e-9)
	a.Chain = chain(7, 100000)
	require.Equal(t, 1.0, o.sharedBlockWeight(a, 35e-6))
}

func TestAReplicasWordFadesToTheMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewPlacer(prefixindex.NewIndex())
		y.SetReplicas(fleet(2), nil, 0)
		p := y.pools["p"]
		y.UpdateLoad("r0", 8, 4, 8)
		p.meanOccupancy = 0.25
		b := y.replicas["r0"]
		require.Equal(t, 8.0, b.load(p, time.Now()))
		require.Equal(t, 4.0, b.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.InDelta(t, 5, b.load(p, time.Now()), 1e-9)
		require.Zero(t, b.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.Equal(t, 2.0, b.load(p, time.Now()))
		require.Equal(t, 2.0, y.replicas["r1"].load(p, time.Now()), "one that never told counts as the mean")
		b.inflight = 7
		require.Equal(t, 7.0, b.load(p, time.Now()), "what this process has there is certain")
	})
}

func TestAReplicasRateIsJudgedBesideTheMean(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	y.SetReplicas(fleet(10), nil, 0)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		per := 10e-6 * (0.7 + 0.6*r.Float64())
		if i%10 == 3 {
			per *= 1.6
		}
		y.observePerToken(y.replicas[fmt.Sprintf("r%d", i%10)], per)
	}
	for id, b := range y.replicas {
		if id == "r3" {
			require.InDelta(t, 1.4, b.relativePrefillTime(), 0.15)
		} else {
			require.InDelta(t, 1, b.relativePrefillTime(), 0.06)
		}
	}
	b := &replicaState{slowness: 50}
	require.Equal(t, maxRelativeRate, b.relativePrefillTime())
	b.slowness = -1
	require.Equal(t, 1/maxRelativeRate, b.relativePrefillTime())
}

func TestOptionsAreChecked(t *testing.T) {
	o := Defaults()
	require.NoError(t, o.Check())
	for i, f := range []func(*Options){
		func(o *Options) { o.OverlapCredit = -1 },
		func(o *Options) { o.PrefillLoadScale = math.NaN() },
		func(o *Options) { o.RereadWeight = math.Inf(1) },
		func(o *Options) { o.BlockTokens = 0 },
	} {
		o := Defaults()
		f(&o)
		require.Error(t, o.Check(), fmt.Sprint(i))
	}
}

func TestAHomesExpectedPartIsInThePrediction(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewPlacer(x)
	y.SetReplicas(fleet(9), nil, 0)
	c := chain(7, 50)
	got, ok := y.Place(ask(c))
	require.True(t, ok)
	require.Equal(t, 2096, got.MatchedTokens)
	require.Equal(t, baseTTFT+durations.FromSeconds(float64(c.Tokens()-2096)*InitialPrefillPerToken.Seconds()), got.UnloadedTTFT)
	b := y.replicas[got.Replica.ID]
	require.Equal(t, float64(c.Tokens()-2096), b.pendingTokens)
	y.Release(&Attempt{ReplicaID: got.Replica.ID, Chain: c, MatchedTokens: got.MatchedTokens})
	require.Zero(t, b.pendingTokens)
}

func TestAnExpectationThatFailsIsNoWordAgainstAHint(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewPlacer(x)
	y.SetReplicas(fleet(9), nil, 0)
	c := chain(7, 50)
	home, _ := y.Place(ask(c))
	first := prefixindex.NewChain(prefixindex.RootKey("m", 1), c.Parts[:1])
	for range prefixindex.MinSightings {
		x.RecordSent(home.Replica.ID, 100000, first, "p") // the preamble only
	}
	slow := func(c *prefixindex.Chain, matched int) {
		for range prefixindex.MaxContradictions {
			y.FirstToken(&Attempt{ReplicaID: home.Replica.ID, Chain: c, MatchedTokens: matched}, time.Minute, 0)
		}
	}
	slow(c, home.MatchedTokens)
	require.Equal(t, 96, x.Matched(home.Replica.ID, first))
	slow(c, 96)
	require.Zero(t, x.Matched(home.Replica.ID, first), "one that the index gave is contradicted")
}
