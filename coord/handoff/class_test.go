package handoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongWorkIsToldByConfigurationAndRequest(t *testing.T) {
	m := Marks{Patient: 8, Heavy: 4}
	long := Ask{Stream: true, Aim: time.Second, Timeout: 20 * time.Second, Gap: 500 * time.Millisecond, Stride: 5, In: 4000, Out: 300, PerToken: 40 * time.Microsecond}
	require.True(t, m.Long(long))
	for name, f := range map[string]func(a *Ask){
		"no stream":           func(a *Ask) { a.Stream = false },
		"nobody waits":        func(a *Ask) { a.Timeout = 5 * time.Second },
		"short answer":        func(a *Ask) { a.Out = 20 },
		"no counts":           func(a *Ask) { a.In, a.Out = 0, 0 },
		"no aim":              func(a *Ask) { a.Aim = 0 },
		"many tokens a piece": func(a *Ask) { a.Stride = 100 },
	} {
		a := long
		f(&a)
		require.False(t, m.Long(a), name)
	}
	b := long
	b.In, b.Out = 90000, 30
	require.True(t, m.Long(b), "a prompt that takes long to read")
}
