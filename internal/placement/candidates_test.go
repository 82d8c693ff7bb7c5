package placement

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

// fullScan is the choice that weighs every replica. The placer is locked.
func fullScan(placer *Placer, request *Request, now time.Time) *candidate {
	choosing := placer.newSelection(request, placer.pools[request.Pool], now)
	var homes candidateSet
	choosing.addHomes(&homes)
	expected := map[*replicaState]int{}
	for _, home := range homes.items[:homes.count] {
		expected[home.replica] = home.expectedTokens
	}
	var best *candidate
	for _, replica := range choosing.pool.all {
		if !choosing.isWarmedUp(replica) {
			continue
		}
		weighed := &candidate{
			replica:        replica,
			matchedTokens:  placer.index.Matched(replica.listed.ID, request.Chain),
			expectedTokens: expected[replica],
		}
		weighed.cost = choosing.cost(weighed)
		if best == nil || weighed.cost < best.cost {
			best = weighed
		}
	}
	return best
}

// costBefore is what a chosen replica cost before the request was counted there.
func costBefore(placer *Placer, request *Request, replica *replicaState, matchedTokens int, now time.Time) float64 {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	shift(placer, request, replica, -1)
	defer shift(placer, request, replica, 1)
	choosing := placer.newSelection(request, placer.pools[request.Pool], now)
	var homes candidateSet
	choosing.addHomes(&homes)
	weighed := candidate{replica: replica, matchedTokens: matchedTokens}
	for _, home := range homes.items[:homes.count] {
		if home.replica == replica {
			weighed.expectedTokens = home.expectedTokens
		}
	}
	return choosing.cost(&weighed)
}

// shift takes a request's own weight off a replica or puts it back.
func shift(placer *Placer, request *Request, replica *replicaState, by int) {
	unread := float64(request.Chain.Tokens() - placer.index.Matched(replica.listed.ID, request.Chain))
	replica.sent.requests += by
	replica.sent.pendingPrefillTokens += float64(by) * unread
	replica.sent.reservedTokens += float64(by) * float64(request.Chain.Tokens()+request.MaxOutputTokens)
}

// comparison is of placed choices with those of a full scan.
type comparison struct {
	same  float64 // part of the prompts for which they were the same replica
	extra float64 // cost in decode blocks by which the others were dearer, on average
	mean  float64 // cost of the full scan's choice, on average
}

// compareWithFullScan plays traffic over a fleet, a prompt each gap on average, and compares its choices.
func compareWithFullScan(t *testing.T, replicas, prompts int, gap time.Duration) comparison {
	t.Helper()
	const perToken = 9e-6 // seconds
	random := rand.New(rand.NewPCG(uint64(replicas), 9))
	var result comparison
	synctest.Test(t, func(t *testing.T) {
		index := prefixindex.NewIndex()
		placer := NewPlacer(index)
		placer.SetReplicas(fleet(replicas), nil, 0)
		for _, replica := range placer.replicas {
			replica.speed.prefillPerToken = perToken
		}
		placer.rates.prefillPerToken = perToken
		var compared, same, sum, extra float64
		for i := range prompts {
			request := randomPrompt(random, i)
			now := time.Now()
			placer.mu.Lock()
			best := fullScan(placer, request, now)
			placer.mu.Unlock()
			got, ok := placer.Place(request)
			require.True(t, ok)
			placer.mu.Lock()
			chosen := placer.replicas[got.Replica.ID]
			placer.mu.Unlock()
			if i > prompts/4 { // once the index knows something
				compared++
				sum += best.cost
				if chosen == best.replica {
					same++
				} else {
					extra += costBefore(placer, request, chosen, got.MatchedTokens, now) - best.cost
				}
			}
			index.RecordSent(got.Replica.ID, request.CapacityTokens, request.Chain, "p")
			serve(placer, random, request, got)
			time.Sleep(time.Duration(float64(gap) * random.ExpFloat64()))
		}
		time.Sleep(10 * time.Second)
		result = comparison{same: same / compared, extra: extra / max(1, compared-same), mean: sum / compared}
	})
	return result
}

// randomPrompt has a preamble that many share, a document that some share, and a part of its own.
func randomPrompt(random *rand.Rand, number int) *Request {
	preamble := 1 + random.Uint64N(20)
	parts := []prefixindex.Part{
		{ID: preamble, Tokens: 300 + int(preamble)*8},
		{ID: 100 + random.Uint64N(2000), Tokens: 100 + random.IntN(4000)},
		{ID: 1e9 + uint64(number), Tokens: 200 + random.IntN(8000)},
	}
	request := ask(prefixindex.NewChain(prefixindex.RootKey("m", 1), parts))
	request.CapacityTokens, request.MaxOutputTokens = 400000, 300
	return request
}

// serve runs a placed prompt at its replica in simulated time.
func serve(placer *Placer, random *rand.Rand, request *Request, choice Choice) {
	attempt := &Attempt{ReplicaID: choice.Replica.ID, Chain: request.Chain, MatchedTokens: choice.MatchedTokens, MaxOutputTokens: request.MaxOutputTokens}
	read := baseTTFT + time.Duration(float64(request.Chain.Tokens()-choice.MatchedTokens)*9e3)
	decode, running := time.Duration(random.IntN(2000))*time.Millisecond, float64(random.IntN(5))
	go func() {
		time.Sleep(read)
		placer.UpdateLoad(attempt.ReplicaID, LoadReport{Running: running, Slots: 8})
		placer.FirstToken(attempt, read, choice.PredictedTTFT)
		time.Sleep(decode)
		placer.Release(attempt)
	}()
}
func TestPlace_FewCandidates_ChoiceOfFullScanNearlyAlways(t *testing.T) {
	for _, test := range []struct {
		name     string
		replicas int
		gap      time.Duration
		minSame  float64
	}{
		{"small fleet", 9, 40 * time.Millisecond, 0.9},
		{"busy fleet", 90, 4 * time.Millisecond, 0.9},
		{"quiet fleet", 90, 100 * time.Millisecond, 0.95},
		{"large fleet", 1500, time.Millisecond, 0.9},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := compareWithFullScan(t, test.replicas, 1500, test.gap)
			t.Logf("%d replicas, a prompt each %v: same choice %.3f; else %.1f decode blocks dearer, of %.0f", test.replicas, test.gap, got.same, got.extra, got.mean)
			require.Greater(t, got.same, test.minSame)
			require.Less(t, got.extra*(1-got.same), 0.02*got.mean)
		})
	}
}

func TestPlace_OneWarmedUpOfMany_ChosenBeforeThoseWarmingUp(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	replicas := fleet(300)
	for id, listed := range replicas {
		if id != "r123" {
			listed.WarmupLeftMs = 1000
		}
	}
	placer.SetReplicas(replicas, nil, 0)
	for i := range 30 {
		request := ask(nil)
		if i%2 == 0 {
			request = ask(chain(uint64(i), 50))
		}
		choice, ok := placer.Place(request)
		require.True(t, ok)
		require.Equal(t, "r123", choice.Replica.ID)
		require.False(t, choice.WarmingUp)
	}
	placer.Health().RecordFailure("r123", outlier.Timeout, time.Now())
	choice, ok := placer.Place(ask(chain(1, 50)))
	require.True(t, ok)
	require.True(t, choice.WarmingUp)
}

func TestPlace_AllOthersExcluded_TheOneLeftIsFound(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(500), nil, 0)
	for _, prompt := range []*prefixindex.Chain{nil, chain(3, 50)} {
		request := ask(prompt)
		for id := range fleet(500) {
			if id != "r77" {
				request.Excluded[id] = true
			}
		}
		got, ok := placer.Place(request)
		require.True(t, ok)
		require.Equal(t, "r77", got.Replica.ID)
		request.Excluded["r77"] = true
		_, ok = placer.Place(request)
		require.False(t, ok)
		request.Excluded = nil
		request.AllowsZone = func(zone string) bool { return zone == "b" }
		got, ok = placer.Place(request)
		require.True(t, ok)
		require.Equal(t, "b", got.Replica.Zone)
	}
}

func TestSetReplicas_RestartNewWeightsOrDrain_IndexForgets(t *testing.T) {
	index := prefixindex.NewIndex()
	placer := NewPlacer(index)
	placer.SetReplicas(fleet(3), nil, 0)
	prompt := chain(7, 100)
	hold := func(id string) {
		for range prefixindex.MinSightings {
			index.RecordSent(id, 100000, prompt, "p")
		}
		require.NotZero(t, index.Matched(id, prompt))
	}
	for _, id := range []string{"r0", "r1", "r2"} {
		hold(id)
	}
	replicas := fleet(3)
	replicas["r0"].Models = []state.Model{{Name: "m", Revision: 2}}
	replicas["r1"].State = "draining"
	placer.SetReplicas(replicas, map[string]bool{"c": true}, 0)
	require.Zero(t, index.Matched("r0", prompt), "other weights")
	require.Zero(t, index.Matched("r1", prompt), "it will not come back")
	require.NotZero(t, index.Matched("r2", prompt), "an evacuated zone comes back with its caches")
	placer.Health().RecordFailure("r2", outlier.Timeout, time.Now())
	require.NotZero(t, index.Matched("r2", prompt), "a failure says nothing of the cache")
	placer.MarkMisaddressed("r2")
	require.Zero(t, index.Matched("r2", prompt), "another is at its address")
	require.Equal(t, 1, placer.openCount("p"))
	hold("r0")
	delete(replicas, "r0")
	replicas["r0b"] = &state.Replica{ID: "r0b", Pool: "p", State: "ready", Zone: "a", Slots: 8}
	placer.SetReplicas(replicas, nil, 0)
	require.Zero(t, index.Matched("r0", prompt))
	require.Zero(t, index.Matched("r0b", prompt), "a new incarnation has an empty cache")
}

func TestUpdateLoad_MemoryTaken_IndexEvicts(t *testing.T) {
	index := prefixindex.NewIndex()
	placer := NewPlacer(index)
	placer.SetReplicas(fleet(1), nil, 0)
	prompt := chain(7, 100)
	for range prefixindex.MinSightings {
		_, _ = placer.Place(ask(prompt))
		index.RecordSent("r0", 4000, prompt, "p")
	}
	require.NotZero(t, index.Matched("r0", prompt))
	placer.mu.Lock()
	placer.pools["p"].meanHeldTokens = 600
	placer.mu.Unlock()
	placer.UpdateLoad("r0", LoadReport{Running: 2, Slots: 8})
	require.NotZero(t, index.Matched("r0", prompt))
	placer.UpdateLoad("r0", LoadReport{Running: 8, Slots: 8})
	require.Zero(t, index.Matched("r0", prompt))
}
