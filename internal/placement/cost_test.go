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
	for i, part := range parts {
		for range part.Tokens {
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

func TestCost_RandomLoads_EqualsTheDesignsFormula(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		options := Defaults()
		options.BlockTokens = 1 + random.IntN(40)
		options.RecomputeWeight = 1 + 8*random.Float64()
		options.PrefillLoadScale = 100 * random.Float64()
		options.OtherZoneBlocks = 0
		placer := NewPlacer(prefixindex.NewIndex())
		placer.Configure(options)
		placer.SetReplicas(fleet(1), nil, 0)
		var parts []prefixindex.Part
		for range 1 + random.IntN(5) {
			parts = append(parts, prefixindex.Part{ID: random.Uint64(), Tokens: random.IntN(500)})
		}
		prompt := prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
		request := ask(prompt)
		request.MaxOutputTokens, request.CapacityTokens = random.IntN(300), 0
		selecting := placer.newSelection(request, placer.pools["p"], time.Now())
		selecting.sharedWeight = 1 + random.Float64()*(options.RecomputeWeight-1)
		replica := placer.replicas["r0"]
		replica.sent.pendingPrefillTokens, replica.sent.reservedTokens, replica.sent.requests = float64(random.IntN(5000)), float64(random.IntN(90000)), random.IntN(6)
		held := random.IntN(prompt.Tokens()+1) / options.BlockTokens * options.BlockTokens
		weighed := candidate{replica: replica, matchedTokens: held}
		want := reference(parts, options.BlockTokens, held, selecting.sharedWeight, options.PrefillLoadScale, replica.sent.pendingPrefillTokens/float64(options.BlockTokens), replica.sent.reservedTokens/float64(options.BlockTokens), float64(request.MaxOutputTokens), options.ActiveWeight*float64(replica.sent.requests))
		require.InDelta(t, want, selecting.cost(&weighed), 1e-6*max(1, want))
	}
}

func TestCostTerms_CreditAbovePrefill_NotNegative(t *testing.T) {
	terms := costTerms{ActivePrefill: 3, IncomingPrompt: 10, OverlapCredit: 40, ActiveDecode: 2, IncomingActive: 11, PrefillScale: 5}
	require.Equal(t, 13.0, terms.total())
}

func TestDecayedCredit_WaitingBlocks_Halved(t *testing.T) {
	options := Defaults()
	options.CreditDecayBlocks = 100
	require.Equal(t, 50.0, options.decayedCredit(100, 100))
	require.Equal(t, 100.0, options.decayedCredit(100, 0))
	options.CreditDecayBlocks = 0
	require.Equal(t, 100.0, options.decayedCredit(100, 1e9))
}

func TestSharedBlockWeight_NoSlack_One(t *testing.T) {
	options := Defaults()
	request := ask(chain(7, 10))
	slack := 1 - (10*35e-6+baseTTFT.Seconds())/request.LatencyTarget.Seconds()
	require.InDelta(t, 1+(options.RecomputeWeight-1)*slack, options.sharedBlockWeight(request, 35e-6), 1e-9)
	request.Chain = chain(7, 100000)
	require.Equal(t, 1.0, options.sharedBlockWeight(request, 35e-6))
}

func TestLoad_ReportAges_FadesToMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		placer.SetReplicas(fleet(2), nil, 0)
		pool := placer.pools["p"]
		placer.UpdateLoad("r0", LoadReport{Running: 8, Waiting: 4, Slots: 8})
		pool.meanOccupancy = 0.25
		replica := placer.replicas["r0"]
		require.Equal(t, 8.0, replica.runningCount(pool.meanOccupancy, time.Now()))
		require.Equal(t, 4.0, replica.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.InDelta(t, 5, replica.runningCount(pool.meanOccupancy, time.Now()), 1e-9)
		require.Zero(t, replica.queueLength(time.Now()))
		time.Sleep(runningReportLifetime / 2)
		require.Equal(t, 2.0, replica.runningCount(pool.meanOccupancy, time.Now()))
		require.Equal(t, 2.0, placer.replicas["r1"].runningCount(pool.meanOccupancy, time.Now()), "one that never reported counts as the mean")
		replica.sent.requests = 7
		require.Equal(t, 7.0, replica.runningCount(pool.meanOccupancy, time.Now()), "never less than this process has there")
	})
}
