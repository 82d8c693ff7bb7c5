package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

func fleet(n int) map[string]*state.Replica {
	replicas := map[string]*state.Replica{}
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		replicas[id] = &state.Replica{ID: id, Pool: "p", State: "ready", Zone: string(rune('a' + i%3)), Slots: 8}
	}
	return replicas
}

func chain(doc uint64, own int) *prefixindex.Chain {
	return prefixindex.NewChain(prefixindex.RootKey("m", 1), []prefixindex.Part{{ID: 1, Tokens: 100}, {ID: doc, Tokens: 2000}, {ID: uint64(time.Now().UnixNano()), Tokens: own}})
}

func ask(prompt *prefixindex.Chain) *Request {
	return &Request{Pool: "p", Zone: "a", Chain: prompt, CapacityTokens: 100000, LatencyTarget: 800 * time.Millisecond, Excluded: map[string]bool{}, WarmupRate: func(string) float64 { return 2 }}
}

func TestPlace_SeveralNodes_AgreeOnHomes(t *testing.T) {
	for doc := range uint64(20) {
		var at string
		for range 4 {
			placer := NewPlacer(prefixindex.NewIndex())
			placer.SetReplicas(fleet(9), nil, 0)
			choice, ok := placer.Place(ask(chain(doc+10, 50)))
			require.True(t, ok)
			if at == "" {
				at = choice.Replica.ID
			}
			require.Equal(t, at, choice.Replica.ID)
		}
	}
}

func TestPlace_HomeFull_AnotherChosen(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(9), nil, 0)
	request := ask(chain(7, 50))
	home, _ := placer.Place(request)
	placer.UpdateLoad(home.Replica.ID, LoadReport{Running: 8, Slots: 8})
	next, _ := placer.Place(request)
	require.NotEqual(t, home.Replica.ID, next.Replica.ID)
	placer.UpdateLoad(home.Replica.ID, LoadReport{Running: 1, Slots: 8})
	again, _ := placer.Place(request)
	require.Equal(t, home.Replica.ID, again.Replica.ID)
}

func TestPlace_ReplicaWithMoreCached_WinsIfItSavesMoreThanTheWait(t *testing.T) {
	index := prefixindex.NewIndex()
	placer := NewPlacer(index)
	placer.SetReplicas(fleet(9), nil, 0)
	prompt := chain(7, 4000)
	home, _ := placer.Place(ask(prompt))
	placer.Release(&Attempt{ReplicaID: home.Replica.ID, Chain: prompt, MatchedTokens: home.MatchedTokens})
	other := "r0"
	if home.Replica.ID == other {
		other = "r1"
	}
	for range 2 {
		index.RecordSent(other, 100000, prompt, "p") // it has cached the own part too
	}
	got, _ := placer.Place(ask(prompt))
	require.Equal(t, other, got.Replica.ID)
	require.True(t, got.BetterCached)
	placer.mu.Lock()
	placer.replicas[other].sent.pendingPrefillTokens = 1e5 // a long queue there
	placer.mu.Unlock()
	got, _ = placer.Place(ask(prompt))
	require.Equal(t, home.Replica.ID, got.Replica.ID)
}

func TestPlace_DrainingEvacuatedOrMisaddressed_GetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		replicas := fleet(4)
		replicas["r0"].State = "draining"
		placer.SetReplicas(replicas, map[string]bool{"b": true}, 0)
		placer.MarkMisaddressed("r2")
		for range 20 {
			choice, ok := placer.Place(&Request{Pool: "p", Zone: "a", Excluded: map[string]bool{}, WarmupRate: func(string) float64 { return 0 }})
			require.True(t, ok)
			require.Equal(t, "r3", choice.Replica.ID)
			require.True(t, placer.Allowed("r3"))
			require.False(t, placer.Allowed("r0") || placer.Allowed("r1") || placer.Allowed("r2"))
		}
		placer.Health().RecordFailure("r3", outlier.Timeout, time.Now())
		_, ok := placer.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.False(t, ok)
		time.Sleep(outlier.FirstEjectionTime)
		_, ok = placer.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.True(t, ok, "after the ejection one trial, whatever else is still out there")
		_, ok = placer.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.False(t, ok, "and only one")
		placer.FirstToken(&Attempt{ReplicaID: "r3"}, 0, 0)
		_, ok = placer.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.True(t, ok)
	})
}

func TestPlace_WarmingUp_GetsItsRateOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		replicas := fleet(1)
		replicas["r0"].WarmupLeftMs = 3000
		placer.SetReplicas(replicas, nil, 0)
		n := 0
		for range 100 {
			if choice, ok := placer.Place(ask(chain(3, 10))); ok {
				require.True(t, choice.WarmingUp)
				n++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 20, n)
	})
}

func TestPlace_ZoneBackFromEvacuation_WarmsUpForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		placer.SetReplicas(fleet(1), map[string]bool{"a": true}, time.Second)
		placer.SetReplicas(fleet(1), nil, time.Second)
		choice, ok := placer.Place(ask(chain(3, 10)))
		require.True(t, ok)
		require.True(t, choice.WarmingUp)
		time.Sleep(time.Second)
		choice, _ = placer.Place(ask(chain(3, 10)))
		require.False(t, choice.WarmingUp)
	})
}

func TestPlace_SameZone_PreferredWhileNotMoreLoaded(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(3), nil, 0)
	for range 50 {
		choice, _ := placer.Place(&Request{Pool: "p", Zone: "a"})
		require.Equal(t, "r0", choice.Replica.ID)
		placer.Release(&Attempt{ReplicaID: choice.Replica.ID})
	}
	placer.UpdateLoad("r0", LoadReport{Running: 8, Waiting: 3, Slots: 8})
	away := 0
	for range 50 {
		choice, _ := placer.Place(&Request{Pool: "p", Zone: "a"})
		if choice.Replica.ID != "r0" {
			away++
		}
		placer.Release(&Attempt{ReplicaID: choice.Replica.ID})
	}
	require.Greater(t, away, 10)
}

func TestIsQueued_ReportAges_False(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		placer.SetReplicas(fleet(2), nil, 0)
		placer.UpdateLoad("r0", LoadReport{Running: 8, Waiting: 3, Slots: 8})
		placer.UpdateLoad("r1", LoadReport{Running: 8, Slots: 8})
		require.True(t, placer.IsQueued("r0"))
		require.False(t, placer.IsQueued("r1") || placer.IsQueued("nobody"))
		time.Sleep(queuedReportLifetime)
		require.False(t, placer.IsQueued("r0"))
	})
}

func TestPlace_FirstHome_ExpectedPartInPrediction(t *testing.T) {
	index := prefixindex.NewIndex()
	placer := NewPlacer(index)
	placer.SetReplicas(fleet(9), nil, 0)
	prompt := chain(7, 50)
	got, ok := placer.Place(ask(prompt))
	require.True(t, ok)
	require.Equal(t, 2096, got.MatchedTokens)
	require.Equal(t, baseTTFT+durations.FromSeconds(float64(prompt.Tokens()-2096)*InitialPrefillPerToken.Seconds()), got.UnloadedTTFT)
	replica := placer.replicas[got.Replica.ID]
	require.Equal(t, float64(prompt.Tokens()-2096), replica.sent.pendingPrefillTokens)
	placer.Release(&Attempt{ReplicaID: got.Replica.ID, Chain: prompt, MatchedTokens: got.MatchedTokens})
	require.Zero(t, replica.sent.pendingPrefillTokens)
}

func TestFirstToken_OnlyExpectedPartLate_HintStays(t *testing.T) {
	index := prefixindex.NewIndex()
	placer := NewPlacer(index)
	placer.SetReplicas(fleet(9), nil, 0)
	prompt := chain(7, 50)
	home, _ := placer.Place(ask(prompt))
	first := prefixindex.NewChain(prefixindex.RootKey("m", 1), prompt.Parts[:1])
	for range prefixindex.MinSightings {
		index.RecordSent(home.Replica.ID, 100000, first, "p") // the preamble only
	}
	slow := func(prompt *prefixindex.Chain, matched int) {
		for range prefixindex.MaxContradictions {
			placer.FirstToken(&Attempt{ReplicaID: home.Replica.ID, Chain: prompt, MatchedTokens: matched}, time.Minute, 0)
		}
	}
	slow(prompt, home.MatchedTokens)
	require.Equal(t, 96, index.Matched(home.Replica.ID, first))
	slow(prompt, 96)
	require.Zero(t, index.Matched(home.Replica.ID, first), "one that the index gave is contradicted")
}
