package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPrimaryWatch_NoPrimary_LinesAtGrowingPauses(t *testing.T) {
	start := time.Unix(1000, 0)
	watch := &primaryWatch{}
	var lines []time.Duration
	for second := range 100 {
		without, due, returned := watch.look(false, start.Add(time.Duration(second)*time.Second))
		require.False(t, returned)
		if due {
			lines = append(lines, without)
		}
	}
	require.Equal(t, []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second, 45 * time.Second, 93 * time.Second}, lines)
	without, due, returned := watch.look(true, start.Add(100*time.Second))
	require.Equal(t, 100*time.Second, without)
	require.False(t, due)
	require.True(t, returned)
}

func TestPrimaryWatch_ShortTakeover_NoLine(t *testing.T) {
	start := time.Unix(1000, 0)
	watch := &primaryWatch{}
	for second := range 10 {
		known := second%3 == 0
		_, due, returned := watch.look(known, start.Add(time.Duration(second)*time.Second))
		require.False(t, due)
		require.False(t, returned)
	}
}
