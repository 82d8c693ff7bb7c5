package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

func fleet(n int) map[string]*state.Replica {
	m := map[string]*state.Replica{}
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		m[id] = &state.Replica{ID: id, Pool: "p", State: "ready", Zone: string(rune('a' + i%3)), Slots: 8}
	}
	return m
}

func chain(doc uint64, own int) *prefixindex.Chain {
	return prefixindex.NewChain(prefixindex.RootKey("m", 1), []prefixindex.Part{{ID: 1, Tokens: 100}, {ID: doc, Tokens: 2000}, {ID: uint64(time.Now().UnixNano()), Tokens: own}})
}

func ask(c *prefixindex.Chain) *Request {
	return &Request{Pool: "p", Zone: "a", Chain: c, CapacityTokens: 100000, LatencyTarget: 800 * time.Millisecond, Excluded: map[string]bool{}, WarmupRate: func(string) float64 { return 2 }}
}

func TestNodesAgreeOnHomes(t *testing.T) {
	for doc := range uint64(20) {
		var at string
		for range 4 {
			y := NewPlacer(prefixindex.NewIndex())
			y.SetReplicas(fleet(9), nil, 0)
			c, ok := y.Place(ask(chain(doc+10, 50)))
			require.True(t, ok)
			if at == "" {
				at = c.Replica.ID
			}
			require.Equal(t, at, c.Replica.ID)
		}
	}
}

func TestAFullHomeIsPassedOver(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	y.SetReplicas(fleet(9), nil, 0)
	a := ask(chain(7, 50))
	home, _ := y.Place(a)
	y.UpdateLoad(home.Replica.ID, 8, 0, 8)
	next, _ := y.Place(a)
	require.NotEqual(t, home.Replica.ID, next.Replica.ID)
	y.UpdateLoad(home.Replica.ID, 1, 0, 8)
	again, _ := y.Place(a)
	require.Equal(t, home.Replica.ID, again.Replica.ID)
}

func TestAWarmerReplicaWinsOnlyIfItSavesMoreThanTheWait(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewPlacer(x)
	y.SetReplicas(fleet(9), nil, 0)
	c := chain(7, 4000)
	home, _ := y.Place(ask(c))
	y.Release(&Attempt{ReplicaID: home.Replica.ID, Chain: c, MatchedTokens: home.MatchedTokens})
	other := "r0"
	if home.Replica.ID == other {
		other = "r1"
	}
	for range 2 {
		x.RecordSent(other, 100000, c, "p") // it keeps the own part too
	}
	got, _ := y.Place(ask(c))
	require.Equal(t, other, got.Replica.ID)
	require.True(t, got.Warmer)
	y.mu.Lock()
	y.replicas[other].pendingTokens = 1e5 // a long line there
	y.mu.Unlock()
	got, _ = y.Place(ask(c))
	require.Equal(t, home.Replica.ID, got.Replica.ID)
}

func TestClosedReplicasGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewPlacer(prefixindex.NewIndex())
		rs := fleet(4)
		rs["r0"].State = "draining"
		y.SetReplicas(rs, map[string]bool{"b": true}, 0)
		y.MarkMisaddressed("r2")
		for range 20 {
			c, ok := y.Place(&Request{Pool: "p", Zone: "a", Excluded: map[string]bool{}, WarmupRate: func(string) float64 { return 0 }})
			require.True(t, ok)
			require.Equal(t, "r3", c.Replica.ID)
			require.True(t, y.Allowed("r3"))
			require.False(t, y.Allowed("r0") || y.Allowed("r1") || y.Allowed("r2"))
		}
		y.Health().RecordFailure("r3", outlier.Timeout, time.Now())
		_, ok := y.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.False(t, ok)
		time.Sleep(outlier.FirstEjectionTime)
		_, ok = y.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.True(t, ok, "after the ejection one trial, whatever else is still out there")
		_, ok = y.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.False(t, ok, "and only one")
		y.FirstToken(&Attempt{ReplicaID: "r3"}, 0, 0)
		_, ok = y.Place(&Request{Pool: "p", WarmupRate: func(string) float64 { return 0 }})
		require.True(t, ok)
	})
}

func TestColdReplicasGetTheirRateOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewPlacer(prefixindex.NewIndex())
		rs := fleet(1)
		rs["r0"].WarmupLeftMs = 3000
		y.SetReplicas(rs, nil, 0)
		n := 0
		for range 100 {
			if c, ok := y.Place(ask(chain(3, 10))); ok {
				require.True(t, c.WarmingUp)
				n++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 20, n)
	})
}

func TestALocalityThatComesBackIsColdForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewPlacer(prefixindex.NewIndex())
		y.SetReplicas(fleet(1), map[string]bool{"a": true}, time.Second)
		y.SetReplicas(fleet(1), nil, time.Second)
		c, ok := y.Place(ask(chain(3, 10)))
		require.True(t, ok)
		require.True(t, c.WarmingUp)
		time.Sleep(time.Second)
		c, _ = y.Place(ask(chain(3, 10)))
		require.False(t, c.WarmingUp)
	})
}

func TestTheOwnLocalityIsPreferredWhileItIsNotBusier(t *testing.T) {
	y := NewPlacer(prefixindex.NewIndex())
	y.SetReplicas(fleet(3), nil, 0)
	for range 50 {
		c, _ := y.Place(&Request{Pool: "p", Zone: "a"})
		require.Equal(t, "r0", c.Replica.ID)
		y.Release(&Attempt{ReplicaID: c.Replica.ID})
	}
	y.UpdateLoad("r0", 8, 3, 8)
	away := 0
	for range 50 {
		c, _ := y.Place(&Request{Pool: "p", Zone: "a"})
		if c.Replica.ID != "r0" {
			away++
		}
		y.Release(&Attempt{ReplicaID: c.Replica.ID})
	}
	require.Greater(t, away, 10)
}

func TestTheTimePerTokenIsLearnedDownQuicklyAndUpSlowly(t *testing.T) {
	r := 100.0
	for range 20 {
		learn(&r, 10)
	}
	require.Less(t, r, 12.0)
	for range 5 {
		learn(&r, 100)
	}
	require.Less(t, r, 25.0)
}

func TestAReplicasWordOfItsQueueAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewPlacer(prefixindex.NewIndex())
		y.SetReplicas(fleet(2), nil, 0)
		y.UpdateLoad("r0", 8, 3, 8)
		y.UpdateLoad("r1", 8, 0, 8)
		require.True(t, y.IsQueued("r0"))
		require.False(t, y.IsQueued("r1") || y.IsQueued("nobody"))
		time.Sleep(queuedReportLifetime)
		require.False(t, y.IsQueued("r0"))
	})
}
