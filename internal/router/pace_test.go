package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/routing"
)

func TestStreamPaces_Predict_FollowsTokensAndSpread(t *testing.T) {
	var paces streamPaces
	require.Zero(t, paces.predict("model", 100), "nothing is known")
	for range 50 {
		paces.observe("model", 100, time.Second)
	}
	steady := paces.predict("model", 100)
	require.InDelta(t, 1.0, steady.Seconds(), 0.05)
	require.InDelta(t, 2*steady.Seconds(), paces.predict("model", 200).Seconds(), 0.001)
	for i := range 50 {
		paces.observe("model", 100, time.Second+time.Duration(i%2)*2*time.Second)
	}
	require.Greater(t, paces.predict("model", 100), 5*time.Second, "four deviations above the mean of two")
	require.Zero(t, paces.predict("another", 100))
	paces.retain(map[string]*routing.Pool{"another": {}})
	require.Zero(t, paces.predict("model", 100), "forgotten with its service")
}

func TestStreamPaces_TokensUnknown_CountAsOne(t *testing.T) {
	var paces streamPaces
	paces.observe("model", 0, 4*time.Second)
	require.Equal(t, 12*time.Second, paces.predict("model", 0), "the first observation counts with half of it as deviation")
}
