package fairshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAHeavyUserLeavesRoomForALightOne(t *testing.T) {
	p := New(100, 0.5)
	for range 50 {
		require.True(t, p.Take("heavy", 1), "nobody is held back while there is plenty")
	}
	require.False(t, p.Take("heavy", 1), "crowded: the rest is for one that comes")
	for range 33 {
		require.True(t, p.Take("light", 1))
	}
	require.False(t, p.Take("light", 1), "its third")
	for range 17 {
		require.True(t, p.Take("third", 1))
	}
	require.False(t, p.Take("third", 1), "the whole is never exceeded")
	require.Equal(t, "heavy", p.Heaviest())
	require.False(t, p.Full())
	require.Equal(t, []Slice{{"heavy", 50, 1}, {"light", 33, 1}, {"third", 17, 1}}, p.Slices())
}

func TestOneAtLeast(t *testing.T) {
	p := New(1, 0.5)
	require.True(t, p.Take("only", 1))
	require.False(t, p.Take("other", 1))
	p.Give("only", 1)
	require.True(t, p.Take("other", 1))
}

func TestBooksBalance(t *testing.T) {
	p := New(10, 1)
	p.Add("a", 30)
	require.True(t, p.Full())
	p.Give("a", 50)
	require.False(t, p.Full())
	for range 10 {
		p.Add("b", 1)
	}
	require.False(t, p.Full(), "giving back too much makes no room out of nothing")
	p.Add("b", 1)
	require.True(t, p.Full())
}

func ExampleShares() {
	p := New(4, 0.5)
	fmt.Println(p.Take("ledgers", 2), p.Take("lookups", 1), p.Take("ledgers", 1))
	// Output: true true false
}
