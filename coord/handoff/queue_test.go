package handoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var queueOptions = QueueOptions{MaxWaiting: 2, LateFraction: 0.5, MaxLateShare: 0.15, Weight: 0.1, Cut: 0.7, Grow: 0.1, Pause: time.Second}

func TestQueue_Full_Rejects(t *testing.T) {
	q := NewQueue(1, queueOptions)
	_, now, ok := q.Join(10, false)
	require.True(t, now && ok)
	a, now, ok := q.Join(30, false)
	require.True(t, !now && ok)
	b, now, ok := q.Join(20, false)
	require.True(t, !now && ok)
	_, _, ok = q.Join(40, false)
	require.False(t, ok, "a third job must not wait")
	run, late := q.Admit(15, false)
	require.Empty(t, run)
	require.Empty(t, late)
	run, late = q.Admit(20, false)
	require.Empty(t, run)
	require.Equal(t, []uint64{b}, late, "a job that can't run in time is returned at once")
	q.Enter()
	q.Release()
	run, _ = q.Admit(21, false)
	require.Empty(t, run, "the job that entered without waiting took the place")
	q.Release()
	run, _ = q.Admit(21, false)
	require.Equal(t, []uint64{a}, run)
}

func TestQueue_Idle_AdmitsAll(t *testing.T) {
	q := NewQueue(1, queueOptions)
	for range 50 {
		_, now, ok := q.Join(10, true)
		require.True(t, now && ok)
	}
	n, _, _ := q.Join(10, false)
	require.NotZero(t, n)
	run, _ := q.Admit(5, true)
	require.Equal(t, []uint64{n}, run, "idle replicas run what waits")
}

func TestQueue_RecordInteractive_AdjustsCapacity(t *testing.T) {
	q := NewQueue(20, queueOptions)
	for range 20 {
		q.Join(0, false)
	}
	q.RecordInteractive(time.Second, 0.9)
	_, _, room := q.Stats()
	require.InDelta(t, 20, room, 1e-9, "a single late one proves nothing")
	q.RecordInteractive(time.Second, 0.9)
	_, _, room = q.Stats()
	require.InDelta(t, 14, room, 1e-9)
	q.RecordInteractive(time.Second+1, 0.9)
	q.RecordInteractive(time.Second+2, 0.9)
	_, _, room = q.Stats()
	require.InDelta(t, 14, room, 1e-9, "no second cut within Pause")
	q.RecordInteractive(5*time.Second, 0.9)
	_, _, room = q.Stats()
	require.InDelta(t, 9.8, room, 1e-9, "new late ones cut it again")
	for range 10 {
		q.RecordInteractive(2*time.Second, 0.2)
	}
	_, _, room = q.Stats()
	require.InDelta(t, 10.8, room, 1e-9)
	for i := range 40 {
		q.RecordInteractive(time.Duration(i+3)*2*time.Second, 2)
	}
	_, _, room = q.Stats()
	require.GreaterOrEqual(t, room, 1.0, "long work never starves")
}

func TestQueue_RecordInteractive_GrowsOnlyUsedCapacity(t *testing.T) {
	q := NewQueue(20, queueOptions)
	for i := range 100 {
		q.RecordInteractive(time.Duration(i), 0.1)
	}
	_, _, room := q.Stats()
	require.InDelta(t, 20, room, 1e-9)
}
