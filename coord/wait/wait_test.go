package wait

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSleep(t *testing.T) {
	tests := []struct {
		name        string
		duration    time.Duration
		cancelAfter time.Duration // 0: never
		want        bool
		took        time.Duration
	}{
		{name: "context goes on", duration: time.Second, want: true, took: time.Second},
		{name: "context ends later", duration: time.Second, cancelAfter: 2 * time.Second, want: true, took: time.Second},
		{name: "context ends first", duration: time.Second, cancelAfter: time.Millisecond, want: false, took: time.Millisecond},
		{name: "no duration", duration: 0, want: true},
		{name: "negative duration", duration: -time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.cancelAfter > 0 {
					time.AfterFunc(test.cancelAfter, cancel)
				}
				start := time.Now()
				require.Equal(t, test.want, Sleep(ctx, test.duration))
				require.Equal(t, test.took, time.Since(start))
			})
		})
	}
}

func TestSleep_ContextEnded_FalseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start := time.Now()
		require.False(t, Sleep(ctx, time.Hour))
		require.Zero(t, time.Since(start))
	})
}

func TestEvery_FalseOrContextEnds_Stops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var calls []time.Duration
		Every(t.Context(), time.Second, func() bool {
			calls = append(calls, time.Since(start))
			return len(calls) < 3
		})
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls)

		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		count := 0
		Every(ctx, time.Second, func() bool { count++; return true })
		require.Equal(t, 2, count)
	})
}

func TestEvery_SlowFunction_DropsTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var calls []time.Duration
		Every(t.Context(), time.Second, func() bool {
			calls = append(calls, time.Since(start))
			time.Sleep(2500 * time.Millisecond)
			return len(calls) < 3
		})
		require.Equal(t, []time.Duration{time.Second, 3500 * time.Millisecond, 6 * time.Second}, calls)
	})
}

func ExampleEvery() {
	ticks := 0
	Every(context.Background(), time.Millisecond, func() bool {
		ticks++
		return ticks < 3
	})
	fmt.Println(ticks)
	// Output: 3
}
