package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKeepAlive_RecordStale_ShortensIdleTimeThatGrowsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &KeepAlive{}
	require.Equal(t, maxIdleTime, k.maxIdle(now))
	require.Equal(t, maxIdleTime, k.maxIdleUnrepeatable(now))
	k.recordStale(4*time.Second, now)
	require.Less(t, k.maxIdle(now), 4*time.Second)
	require.Less(t, k.maxIdleUnrepeatable(now), k.maxIdle(now), "an unrepeatable request takes only connections idle for less")
	k.recordStale(3*time.Second, now)
	short := k.maxIdle(now)
	require.Less(t, short, 3*time.Second)
	require.Equal(t, 2*short, k.maxIdle(now.Add(idleGrowth)))
	require.Equal(t, maxIdleTime, k.maxIdle(now.Add(time.Hour)))
	for range 99 {
		require.True(t, k.recordStale(0, now))
	}
	require.Equal(t, minIdleTime, k.maxIdle(now))
	p := &KeepAlive{}
	p.recordReuse(2*time.Second, now)
	p.recordReuse(time.Second, now)
	require.False(t, p.recordStale(time.Second, now), "others worked after a longer idle time")
	require.Equal(t, maxIdleTime, p.maxIdle(now))
	require.True(t, p.recordStale(time.Second, now.Add(reuseLifetime+1)), "none worked within reuseLifetime")
}
