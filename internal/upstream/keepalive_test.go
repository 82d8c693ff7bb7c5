package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKeepAlive_RecordStale_ShortensIdleTimeThatGrowsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &KeepAlive{}
	require.Equal(t, maxIdleTime, k.MaxIdle(now))
	require.Equal(t, maxIdleTime, k.MaxIdleUnrepeatable(now))
	k.RecordStale(4*time.Second, now)
	require.Less(t, k.MaxIdle(now), 4*time.Second)
	require.Less(t, k.MaxIdleUnrepeatable(now), k.MaxIdle(now), "what may not be sent again takes younger ones")
	k.RecordStale(3*time.Second, now)
	short := k.MaxIdle(now)
	require.Less(t, short, 3*time.Second)
	require.Equal(t, 2*short, k.MaxIdle(now.Add(idleGrowth)))
	require.Equal(t, maxIdleTime, k.MaxIdle(now.Add(time.Hour)))
	for range 99 {
		require.True(t, k.RecordStale(0, now))
	}
	require.Equal(t, minIdleTime, k.MaxIdle(now))
	p := &KeepAlive{}
	p.RecordReuse(2*time.Second, now)
	p.RecordReuse(time.Second, now)
	require.False(t, p.RecordStale(time.Second, now), "others worked after a longer rest")
	require.Equal(t, maxIdleTime, p.MaxIdle(now))
	require.True(t, p.RecordStale(time.Second, now.Add(reuseLifetime+1)), "but not of late")
}
