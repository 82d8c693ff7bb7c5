package handoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestThresholds_IsLong_ByConfigurationAndRequest(t *testing.T) {
	m := Thresholds{Patient: 8, Heavy: 4}
	long := Demand{Stream: true, LatencyTarget: time.Second, Timeout: 20 * time.Second, EventGapTarget: 500 * time.Millisecond, TokensPerEvent: 5, PromptTokens: 4000, OutputTokens: 300, PerToken: 40 * time.Microsecond}
	require.True(t, m.IsLong(long))
	for name, f := range map[string]func(a *Demand){
		"no stream":           func(a *Demand) { a.Stream = false },
		"nobody waits":        func(a *Demand) { a.Timeout = 5 * time.Second },
		"short answer":        func(a *Demand) { a.OutputTokens = 20 },
		"no counts":           func(a *Demand) { a.PromptTokens, a.OutputTokens = 0, 0 },
		"no latency target":   func(a *Demand) { a.LatencyTarget = 0 },
		"many tokens a piece": func(a *Demand) { a.TokensPerEvent = 100 },
	} {
		a := long
		f(&a)
		require.False(t, m.IsLong(a), name)
	}
	b := long
	b.PromptTokens, b.OutputTokens = 90000, 30
	require.True(t, m.IsLong(b), "a prompt that takes long to read")
}
