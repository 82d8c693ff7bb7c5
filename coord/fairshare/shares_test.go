package fairshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAHeavyUserLeavesRoomForALightOne(t *testing.T) {
	p := New(100, 0.5)
	for range 50 {
		require.True(t, p.TryAcquire("heavy", 1), "nobody is held back while there is plenty")
	}
	require.False(t, p.TryAcquire("heavy", 1), "crowded: the rest is for one that comes")
	for range 33 {
		require.True(t, p.TryAcquire("light", 1))
	}
	require.False(t, p.TryAcquire("light", 1), "its third")
	for range 17 {
		require.True(t, p.TryAcquire("third", 1))
	}
	require.False(t, p.TryAcquire("third", 1), "the whole is never exceeded")
	require.Equal(t, "heavy", p.HeaviestUser())
	require.False(t, p.OverCapacity())
	require.Equal(t, []UserShare{{"heavy", 50, 1}, {"light", 33, 1}, {"third", 17, 1}}, p.UserShares())
}

func TestOneAtLeast(t *testing.T) {
	p := New(1, 0.5)
	require.True(t, p.TryAcquire("only", 1))
	require.False(t, p.TryAcquire("other", 1))
	p.Release("only", 1)
	require.True(t, p.TryAcquire("other", 1))
}

func TestBooksBalance(t *testing.T) {
	p := New(10, 1)
	p.Acquire("a", 30)
	require.True(t, p.OverCapacity())
	p.Release("a", 50)
	require.False(t, p.OverCapacity())
	for range 10 {
		p.Acquire("b", 1)
	}
	require.False(t, p.OverCapacity(), "giving back too much makes no room out of nothing")
	p.Acquire("b", 1)
	require.True(t, p.OverCapacity())
}

func ExampleShares() {
	p := New(4, 0.5)
	fmt.Println(p.TryAcquire("ledgers", 2), p.TryAcquire("lookups", 1), p.TryAcquire("ledgers", 1))
	// Output: true true false
}
