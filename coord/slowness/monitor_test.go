package slowness

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMonitor_LateTimersAndSlowWork_Slow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := 10 * microsecond
		w := NewMonitor(slog.New(slog.DiscardHandler), func() time.Duration { return work })
		measure := func(n int, every time.Duration) {
			for range n {
				w.UpdatePeer("n1", false)
				w.Measure()
				time.Sleep(every)
			}
		}
		measure(samplesForBaseline+4, Interval)
		require.False(t, w.Slow())
		measure(stepsToSlow+1, Interval+2*lateTimer) // the first was on time
		require.True(t, w.Slow())
		measure(stepsToRecover+1, Interval)
		require.False(t, w.Slow())
		work *= 5
		measure(stepsToSlow+stepsBeforePeersCount+1, Interval)
		require.True(t, w.ShouldRefuseNew())
		require.False(t, w.ShouldShed())
		measure(stepsToShed, Interval)
		require.True(t, w.ShouldShed())
		require.InDelta(t, 10, w.State().BaselineUs, 0.01)
	})
}

func TestMonitor_DefaultWork_TakesTime(t *testing.T) {
	w := NewMonitor(slog.New(slog.DiscardHandler), nil)
	require.Positive(t, w.work())
	w.Measure()
	require.False(t, w.Slow())
}
