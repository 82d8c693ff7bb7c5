package gatehouse

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheFleetsSharesStayInsideTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, ratio, slack = 11, 0.2, 62.0
		var nodes []*Budget
		for range fleet {
			nodes = append(nodes, NewBudget(ratio, slack, 10*time.Second, 0.8))
		}
		var asked, extra []time.Time
		for step := range 400 { // 40 s, every inquiry wants two further tries
			for i := range 1 + step%7 {
				b := nodes[(step+i)%fleet]
				b.Asked("p")
				asked = append(asked, time.Now())
				for range 2 {
					if b.Take("p", fleet) {
						extra = append(extra, time.Now())
					}
				}
			}
			in := func(ms []time.Time) (n float64) {
				for _, m := range ms {
					if time.Since(m) <= 10*time.Second {
						n++
					}
				}
				return
			}
			require.LessOrEqual(t, in(extra), ratio*in(asked)+slack)
			time.Sleep(100 * time.Millisecond)
		}
		require.NotEmpty(t, extra)
		require.False(t, NewBudget(ratio, slack, time.Second, 0.8).Take("p", 1000), "a share below one is none")
	})
}
