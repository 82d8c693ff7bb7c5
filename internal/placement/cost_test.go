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
		o.Block = 1 + r.IntN(40)
		o.Reread = 1 + 8*r.Float64()
		o.PrefillScale = 100 * r.Float64()
		o.Away = 0
		y := NewYard(prefixindex.NewIndex())
		y.Use(o)
		y.Set(fleet(1), nil, 0)
		var parts []prefixindex.Part
		for range 1 + r.IntN(5) {
			parts = append(parts, prefixindex.Part{ID: r.Uint64(), Tokens: r.IntN(500)})
		}
		c := prefixindex.NewChain(prefixindex.Root("m", 1), parts)
		a := ask(c)
		a.OutMost, a.Capacity, a.weight = r.IntN(300), 0, 1+r.Float64()*(o.Reread-1)
		b := y.b["r0"]
		b.tokens, b.kv, b.inflight = float64(r.IntN(5000)), float64(r.IntN(90000)), r.IntN(6)
		kept := r.IntN(c.Tokens()+1) / o.Block * o.Block
		x := candidate{b: b, matched: kept}
		want := reference(parts, o.Block, kept, a.weight, o.PrefillScale, b.tokens/float64(o.Block), b.kv/float64(o.Block), float64(a.OutMost), o.ActiveWeight*float64(b.inflight))
		require.InDelta(t, want, y.cost(&x, y.pools["p"], a, time.Now()), 1e-6*max(1, want))
	}
}

func TestCreditNeverTurnsACostNegative(t *testing.T) {
	l := Load{ActivePrefill: 3, IncomingPrompt: 10, OverlapCredit: 40, ActiveDecode: 2, IncomingActive: 11, Scale: 5}
	require.Equal(t, 13.0, l.Cost())
}

func TestCreditDecaysUnderALine(t *testing.T) {
	o := Defaults()
	o.Decay = 100
	require.Equal(t, 50.0, o.decayed(100, 100))
	require.Equal(t, 100.0, o.decayed(100, 0))
	o.Decay = 0
	require.Equal(t, 100.0, o.decayed(100, 1e9))
}

func TestAPromptInAHurryWeighsSharedBlocksOnce(t *testing.T) {
	o := Defaults()
	a := ask(chain(7, 10))
	slack := 1 - (10*35e-6+firstBase.Seconds())/a.Aim.Seconds()
	require.InDelta(t, 1+(o.Reread-1)*slack, o.shared(a, 35e-6), 1e-9)
	a.Chain = chain(7, 100000)
	require.Equal(t, 1.0, o.shared(a, 35e-6))
}

func TestAReplicasWordFadesToTheMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewYard(prefixindex.NewIndex())
		y.Set(fleet(2), nil, 0)
		p := y.pools["p"]
		y.Told("r0", 8, 4, 8)
		p.mean = 0.25
		b := y.b["r0"]
		require.Equal(t, 8.0, b.busyness(p, time.Now()))
		require.Equal(t, 4.0, b.queued(time.Now()))
		time.Sleep(toldSpan / 2)
		require.InDelta(t, 5, b.busyness(p, time.Now()), 1e-9)
		require.Zero(t, b.queued(time.Now()))
		time.Sleep(toldSpan / 2)
		require.Equal(t, 2.0, b.busyness(p, time.Now()))
		require.Equal(t, 2.0, y.b["r1"].busyness(p, time.Now()), "one that never told counts as the mean")
		b.inflight = 7
		require.Equal(t, 7.0, b.busyness(p, time.Now()), "what this process has there is certain")
	})
}

func TestAReplicasRateIsJudgedBesideTheMean(t *testing.T) {
	y := NewYard(prefixindex.NewIndex())
	y.Set(fleet(10), nil, 0)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		per := 10e-6 * (0.7 + 0.6*r.Float64())
		if i%10 == 3 {
			per *= 1.6
		}
		y.read(y.b[fmt.Sprintf("r%d", i%10)], per)
	}
	for id, b := range y.b {
		if id == "r3" {
			require.InDelta(t, 1.4, b.rate(), 0.15)
		} else {
			require.InDelta(t, 1, b.rate(), 0.06)
		}
	}
	b := &berth{slow: 50}
	require.Equal(t, rateMost, b.rate())
	b.slow = -1
	require.Equal(t, 1/rateMost, b.rate())
}

func TestOptionsAreChecked(t *testing.T) {
	o := Defaults()
	require.NoError(t, o.Check())
	for i, f := range []func(*Options){
		func(o *Options) { o.Credit = -1 },
		func(o *Options) { o.PrefillScale = math.NaN() },
		func(o *Options) { o.Reread = math.Inf(1) },
		func(o *Options) { o.Block = 0 },
	} {
		o := Defaults()
		f(&o)
		require.Error(t, o.Check(), fmt.Sprint(i))
	}
}

func TestAHomesExpectedPartIsInThePrediction(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewYard(x)
	y.Set(fleet(9), nil, 0)
	c := chain(7, 50)
	got, ok := y.Place(ask(c))
	require.True(t, ok)
	require.Equal(t, 2096, got.Matched)
	require.Equal(t, firstBase+durations.FromSeconds(float64(c.Tokens()-2096)*InitialPrefillPerToken.Seconds()), got.Alone)
	b := y.b[got.Replica.ID]
	require.Equal(t, float64(c.Tokens()-2096), b.tokens)
	y.Done(&End{Replica: got.Replica.ID, Chain: c, Matched: got.Matched})
	require.Zero(t, b.tokens)
}

func TestAnExpectationThatFailsIsNoWordAgainstAHint(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewYard(x)
	y.Set(fleet(9), nil, 0)
	c := chain(7, 50)
	home, _ := y.Place(ask(c))
	first := prefixindex.NewChain(prefixindex.Root("m", 1), c.Parts[:1])
	for range prefixindex.MinSightings {
		x.Sent(home.Replica.ID, 100000, first, "p") // the preamble only
	}
	slow := func(c *prefixindex.Chain, matched int) {
		for range prefixindex.MaxContradictions {
			y.Began(&End{Replica: home.Replica.ID, Chain: c, Matched: matched}, time.Minute, 0)
		}
	}
	slow(c, home.Matched)
	require.Equal(t, 96, x.Matched(home.Replica.ID, first))
	slow(c, 96)
	require.Zero(t, x.Matched(home.Replica.ID, first), "one that the index gave is contradicted")
}
