package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestALossShortensTheIdleTimeAndItGrowsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &Keep{}
	require.Equal(t, keepLongest, k.Most(now))
	require.Equal(t, keepLongest, k.Sure(now))
	k.Forgot(4*time.Second, now)
	require.Less(t, k.Most(now), 4*time.Second)
	require.Less(t, k.Sure(now), k.Most(now), "what may not be sent again takes younger ones")
	k.Forgot(3*time.Second, now)
	short := k.Most(now)
	require.Less(t, short, 3*time.Second)
	require.Equal(t, 2*short, k.Most(now.Add(keepRelax)))
	require.Equal(t, keepLongest, k.Most(now.Add(time.Hour)))
	for range 99 {
		require.True(t, k.Forgot(0, now))
	}
	require.Equal(t, keepLeast, k.Most(now))
	p := &Keep{}
	p.Kept(2*time.Second, now)
	p.Kept(time.Second, now)
	require.False(t, p.Forgot(time.Second, now), "others worked after a longer rest")
	require.Equal(t, keepLongest, p.Most(now))
	require.True(t, p.Forgot(time.Second, now.Add(keepProof+1)), "but not of late")
}
