package slowness

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAWatchSeesLateLooksAndSlowWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := 10 * us
		w := NewMonitor(slog.New(slog.DiscardHandler), func() time.Duration { return work })
		look := func(n int, every time.Duration) {
			for range n {
				w.UpdatePeer("n1", false)
				w.Measure()
				time.Sleep(every)
			}
		}
		look(levelFirst+4, Interval)
		require.False(t, w.Slow())
		look(levelBad+1, Interval+2*levelLate) // the first was on time
		require.True(t, w.Slow())
		look(levelGood+1, Interval)
		require.False(t, w.Slow())
		work *= 5
		look(levelBad+levelAfter+1, Interval)
		require.True(t, w.ShouldRefuseNew())
		require.False(t, w.ShouldShed())
		look(levelShed, Interval)
		require.True(t, w.ShouldShed())
		require.InDelta(t, 10, w.State().UsualUs, 0.01)
	})
}

func TestTheUsualPieceOfWorkTakesTime(t *testing.T) {
	w := NewMonitor(slog.New(slog.DiscardHandler), nil)
	require.Positive(t, w.work())
	w.Measure()
	require.False(t, w.Slow())
}
