package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/prefixindex"
)

// reference counts a prompt's blocks one token after the other and adds the source's terms up as they are written there.
func reference(parts []prefixindex.Part, block, held int, weight, scale, active, decode, out, requests float64) float64 {
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
		if at+block <= held {
			credit += w
		}
	}
	adjusted := active + incoming - credit
	if adjusted < 0 {
		adjusted = 0
	}
	potential := math.Ceil((float64(total) + out) / float64(block))
	return scale*adjusted + decode + potential + requests
}

func TestCost_RandomLoads_AsInTheSource(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		o := Defaults()
		o.BlockTokens = 1 + r.IntN(40)
		o.RereadWeight = 1 + 8*r.Float64()
		o.PrefillLoadScale = 100 * r.Float64()
		o.OtherZoneBlocks = 0
		placer := NewPlacer(prefixindex.NewIndex())
		placer.Configure(o)
		placer.SetReplicas(fleet(1), nil, 0)
		var parts []prefixindex.Part
		for range 1 + r.IntN(5) {
			parts = append(parts, prefixindex.Part{ID: r.Uint64(), Tokens: r.IntN(500)})
		}
		c := prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
		a := ask(c)
		a.MaxOutputTokens, a.CapacityTokens = r.IntN(300), 0
		choosing := placer.newSelection(a, placer.pools["p"], time.Now())
		choosing.sharedWeight = 1 + r.Float64()*(o.RereadWeight-1)
		b := placer.replicas["r0"]
		b.sent.unreadTokens, b.sent.reservedTokens, b.sent.requests = float64(r.IntN(5000)), float64(r.IntN(90000)), r.IntN(6)
		held := r.IntN(c.Tokens()+1) / o.BlockTokens * o.BlockTokens
		x := candidate{replica: b, matchedTokens: held}
		want := reference(parts, o.BlockTokens, held, choosing.sharedWeight, o.PrefillLoadScale, b.sent.unreadTokens/float64(o.BlockTokens), b.sent.reservedTokens/float64(o.BlockTokens), float64(a.MaxOutputTokens), o.ActiveWeight*float64(b.sent.requests))
		require.InDelta(t, want, choosing.cost(&x), 1e-6*max(1, want))
	}
}

func TestCostTerms_CreditAbovePrefill_NotNegative(t *testing.T) {
	l := costTerms{ActivePrefill: 3, IncomingPrompt: 10, OverlapCredit: 40, ActiveDecode: 2, IncomingActive: 11, PrefillScale: 5}
	require.Equal(t, 13.0, l.total())
}

func TestDecayedCredit_WaitingBlocks_Halved(t *testing.T) {
	o := Defaults()
	o.CreditDecayBlocks = 100
	require.Equal(t, 50.0, o.decayedCredit(100, 100))
	require.Equal(t, 100.0, o.decayedCredit(100, 0))
	o.CreditDecayBlocks = 0
	require.Equal(t, 100.0, o.decayedCredit(100, 1e9))
}

func TestSharedBlockWeight_NoSlack_One(t *testing.T) {
	o := Defaults()
	a := ask(chain(7, 10))
	slack := 1 - (10*35e-6+baseTTFT.Seconds())/a.LatencyTarget.Seconds()
	require.InDelta(t, 1+(o.RereadWeight-1)*slack, o.sharedBlockWeight(a, 35e-6), 1e-9)
	a.Chain = chain(7, 100000)
	require.Equal(t, 1.0, o.sharedBlockWeight(a, 35e-6))
}

func TestLoad_ReportAges_FadesToMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		placer.SetReplicas(fleet(2), nil, 0)
		p := placer.pools["p"]
		placer.UpdateLoad("r0", LoadReport{Running: 8, Waiting: 4, Slots: 8})
		p.meanOccupancy = 0.25
		b := placer.replicas["r0"]
		require.Equal(t, 8.0, b.load(p.meanOccupancy, time.Now()))
		require.Equal(t, 4.0, b.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.InDelta(t, 5, b.load(p.meanOccupancy, time.Now()), 1e-9)
		require.Zero(t, b.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.Equal(t, 2.0, b.load(p.meanOccupancy, time.Now()))
		require.Equal(t, 2.0, placer.replicas["r1"].load(p.meanOccupancy, time.Now()), "one that never reported counts as the mean")
		b.sent.requests = 7
		require.Equal(t, 7.0, b.load(p.meanOccupancy, time.Now()), "what this process has there is certain")
	})
}
