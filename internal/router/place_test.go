package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/placement"
)

func TestAdmits_ByPredictedQueueingTime(t *testing.T) {
	c := placement.Choice{PredictedTTFT: 5 * time.Second, UnloadedTTFT: time.Second}
	require.False(t, admits(c, 3*time.Second), "the queue alone outlasts the time left")
	require.True(t, admits(c, 5*time.Second))
	long := placement.Choice{PredictedTTFT: 5 * time.Second, UnloadedTTFT: 5 * time.Second}
	require.True(t, admits(long, 3*time.Second), "a long prompt is not refused for its length")
	require.True(t, admits(placement.Choice{}, time.Millisecond), "services without an engine predict nothing")
}
