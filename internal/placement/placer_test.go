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
	return prefixindex.NewChain(prefixindex.Root("m", 1), []prefixindex.Part{{ID: 1, Tokens: 100}, {ID: doc, Tokens: 2000}, {ID: uint64(time.Now().UnixNano()), Tokens: own}})
}

func ask(c *prefixindex.Chain) *Request {
	return &Request{Pool: "p", Locality: "a", Chain: c, Capacity: 100000, Aim: 800 * time.Millisecond, Not: map[string]bool{}, ColdRate: func(string) float64 { return 2 }}
}

func TestNodesAgreeOnHomes(t *testing.T) {
	for doc := range uint64(20) {
		var at string
		for range 4 {
			y := NewYard(prefixindex.NewIndex())
			y.Set(fleet(9), nil, 0)
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
	y := NewYard(prefixindex.NewIndex())
	y.Set(fleet(9), nil, 0)
	a := ask(chain(7, 50))
	home, _ := y.Place(a)
	y.Told(home.Replica.ID, 8, 0, 8)
	next, _ := y.Place(a)
	require.NotEqual(t, home.Replica.ID, next.Replica.ID)
	y.Told(home.Replica.ID, 1, 0, 8)
	again, _ := y.Place(a)
	require.Equal(t, home.Replica.ID, again.Replica.ID)
}

func TestAWarmerReplicaWinsOnlyIfItSavesMoreThanTheWait(t *testing.T) {
	x := prefixindex.NewIndex()
	y := NewYard(x)
	y.Set(fleet(9), nil, 0)
	c := chain(7, 4000)
	home, _ := y.Place(ask(c))
	y.Done(&End{Replica: home.Replica.ID, Chain: c, Matched: home.Matched})
	other := "r0"
	if home.Replica.ID == other {
		other = "r1"
	}
	for range 2 {
		x.Sent(other, 100000, c, "p") // it keeps the own part too
	}
	got, _ := y.Place(ask(c))
	require.Equal(t, other, got.Replica.ID)
	require.True(t, got.Warmer)
	y.mu.Lock()
	y.b[other].tokens = 1e5 // a long line there
	y.mu.Unlock()
	got, _ = y.Place(ask(c))
	require.Equal(t, home.Replica.ID, got.Replica.ID)
}

func TestClosedReplicasGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewYard(prefixindex.NewIndex())
		rs := fleet(4)
		rs["r0"].State = "draining"
		y.Set(rs, map[string]bool{"b": true}, 0)
		y.Wrong("r2")
		for range 20 {
			c, ok := y.Place(&Request{Pool: "p", Locality: "a", Not: map[string]bool{}, ColdRate: func(string) float64 { return 0 }})
			require.True(t, ok)
			require.Equal(t, "r3", c.Replica.ID)
			require.True(t, y.May("r3"))
			require.False(t, y.May("r0") || y.May("r1") || y.May("r2"))
		}
		y.Health().Bad("r3", outlier.Silent, time.Now())
		_, ok := y.Place(&Request{Pool: "p", ColdRate: func(string) float64 { return 0 }})
		require.False(t, ok)
		time.Sleep(outlier.FirstEjection)
		_, ok = y.Place(&Request{Pool: "p", ColdRate: func(string) float64 { return 0 }})
		require.True(t, ok, "after the ejection one trial, whatever else is still out there")
		_, ok = y.Place(&Request{Pool: "p", ColdRate: func(string) float64 { return 0 }})
		require.False(t, ok, "and only one")
		y.Began(&End{Replica: "r3"}, 0, 0)
		_, ok = y.Place(&Request{Pool: "p", ColdRate: func(string) float64 { return 0 }})
		require.True(t, ok)
	})
}

func TestColdReplicasGetTheirRateOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewYard(prefixindex.NewIndex())
		rs := fleet(1)
		rs["r0"].WarmupLeftMs = 3000
		y.Set(rs, nil, 0)
		n := 0
		for range 100 {
			if c, ok := y.Place(ask(chain(3, 10))); ok {
				require.True(t, c.Cold)
				n++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 20, n)
	})
}

func TestALocalityThatComesBackIsColdForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewYard(prefixindex.NewIndex())
		y.Set(fleet(1), map[string]bool{"a": true}, time.Second)
		y.Set(fleet(1), nil, time.Second)
		c, ok := y.Place(ask(chain(3, 10)))
		require.True(t, ok)
		require.True(t, c.Cold)
		time.Sleep(time.Second)
		c, _ = y.Place(ask(chain(3, 10)))
		require.False(t, c.Cold)
	})
}

func TestTheOwnLocalityIsPreferredWhileItIsNotBusier(t *testing.T) {
	y := NewYard(prefixindex.NewIndex())
	y.Set(fleet(3), nil, 0)
	for range 50 {
		c, _ := y.Place(&Request{Pool: "p", Locality: "a"})
		require.Equal(t, "r0", c.Replica.ID)
		y.Done(&End{Replica: c.Replica.ID})
	}
	y.Told("r0", 8, 3, 8)
	away := 0
	for range 50 {
		c, _ := y.Place(&Request{Pool: "p", Locality: "a"})
		if c.Replica.ID != "r0" {
			away++
		}
		y.Done(&End{Replica: c.Replica.ID})
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
		y := NewYard(prefixindex.NewIndex())
		y.Set(fleet(2), nil, 0)
		y.Told("r0", 8, 3, 8)
		y.Told("r1", 8, 0, 8)
		require.True(t, y.Queued("r0"))
		require.False(t, y.Queued("r1") || y.Queued("nobody"))
		time.Sleep(queueSpan)
		require.False(t, y.Queued("r0"))
	})
}
