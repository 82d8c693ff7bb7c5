package simtest

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkServe carries inquiries through one router, with as many model replicas as given.
func BenchmarkServe(b *testing.B) {
	for _, n := range []int{9, 89, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := NewSimulation(slog.New(slog.DiscardHandler))
			s := &Script{sim: sim, failed: map[int]int{}}
			require.NoError(b, s.run("fleet", []string{"controllers=3", "routers=1"}))
			for i := range n {
				r := sim.AddReplica(fmt.Sprintf("m%d", i), "lm", fmt.Sprintf("10.7.%d.%d", i/250, i%250+1), string("abc"[i%3]))
				r.workTime, r.events = 0, 1
			}
			time.Sleep(time.Second)
			require.NoError(b, s.run("put", []string{"5", "base=0", "expect=200"}))
			time.Sleep(2 * time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			var i atomic.Int64
			b.SetParallelism(8)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					i := i.Add(1)
					sim.Request("router-1", "/s/x", fmt.Sprintf("aa:512,%x:4870,%x:64", i%400+1, 0xf0000+i), false, 2000)
				}
			})
			b.StopTimer()
			sim.Close()
		})
	}
}
