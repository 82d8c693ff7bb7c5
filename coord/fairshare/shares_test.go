package fairshare

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSharesTryAcquire_HeavyUser_LeavesRoomForOthers(t *testing.T) {
	p := New(100, 0.5)
	for range 50 {
		require.True(t, p.TryAcquire("heavy", 1), "no limit while there is plenty")
	}
	require.False(t, p.TryAcquire("heavy", 1), "scarce: the rest is for a newcomer")
	for range 33 {
		require.True(t, p.TryAcquire("light", 1))
	}
	require.False(t, p.TryAcquire("light", 1), "its third")
	for range 17 {
		require.True(t, p.TryAcquire("third", 1))
	}
	require.False(t, p.TryAcquire("third", 1), "the capacity is never exceeded")
	require.Equal(t, "heavy", p.HeaviestUser())
	require.False(t, p.OverCapacity())
	require.Equal(t, []UserShare{{"heavy", 50, 1}, {"light", 33, 1}, {"third", 17, 1}}, p.UserShares())
}

func TestSharesTryAcquire_TinyCapacity_ShareIsOneAtLeast(t *testing.T) {
	p := New(1, 0.5)
	require.True(t, p.TryAcquire("only", 1))
	require.False(t, p.TryAcquire("other", 1))
	p.Release("only", 1)
	require.True(t, p.TryAcquire("other", 1))
}

func TestSharesRelease_MoreThanTaken_MakesNoRoom(t *testing.T) {
	p := New(10, 1)
	p.Acquire("a", 30)
	require.True(t, p.OverCapacity())
	p.Release("a", 50)
	require.False(t, p.OverCapacity())
	for range 10 {
		p.Acquire("b", 1)
	}
	require.False(t, p.OverCapacity(), "releasing more than was acquired adds no capacity")
	p.Acquire("b", 1)
	require.True(t, p.OverCapacity())
}
