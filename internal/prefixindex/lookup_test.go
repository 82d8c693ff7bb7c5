package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func anyone(string) bool { return true }

func TestHoldersAreThoseThatKeepTheMost(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	for range 100 {
		x := NewIndex()
		ids := []string{}
		for i := range 8 {
			ids = append(ids, fmt.Sprintf("r%d", i))
		}
		some := func() *Chain {
			var ps []Part
			for i := range 1 + r.IntN(4) {
				ps = append(ps, Part{uint64(10*i + r.IntN(2)), 16 * (1 + i)})
			}
			return chain(ps...)
		}
		for range 60 {
			x.RecordSent(ids[r.IntN(len(ids))], 16*(1+r.IntN(40)), some(), "own")
			if r.IntN(10) == 0 {
				x.Forget(ids[r.IntN(len(ids))])
			}
			if r.IntN(10) == 0 {
				x.ReserveTokens(ids[r.IntN(len(ids))], float64(r.IntN(400)))
			}
		}
		n := 0
		for _, rs := range x.holders {
			for i, o := range rs {
				require.Equal(t, i, o.position)
				require.Same(t, o, o.cache.runs[o.key].Value.(*run))
				n++
			}
		}
		require.Equal(t, x.runs, n, "the reverse names each run once")
		for range 10 {
			c := some()
			best := 0
			for _, id := range ids {
				best = max(best, x.Matched(id, c))
			}
			got := x.Holders(c, make([]string, 0, 3), anyone)
			require.LessOrEqual(t, len(got), 3)
			if best == 0 {
				continue
			}
			require.NotEmpty(t, got)
			require.Equal(t, best, x.Matched(got[0], c), "the first keeps as much as any")
		}
	}
}

func TestHoldersThatDoNotFitAreLeftOut(t *testing.T) {
	x := NewIndex()
	c := chain(Part{1, 160}, Part{2, 160})
	for i := range 5 {
		for range MinSightings {
			x.RecordSent(fmt.Sprintf("r%d", i), 10000, c, "own")
		}
	}
	require.Equal(t, []string{"r3"}, x.Holders(c, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	x.Forget("r3")
	require.Empty(t, x.Holders(c, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	require.Len(t, x.Holders(c, make([]string, 0, 4), anyone), 4)
}

func TestOtherBlockSizesCutElsewhere(t *testing.T) {
	x := NewIndex()
	x.SetBlockTokens(64)
	c := chain(Part{1, 100}, Part{2, 100})
	for range MinSightings {
		x.RecordSent("r", 10000, c, "own")
	}
	require.Equal(t, 192, x.Matched("r", c))
	require.Equal(t, 64, x.Matched("r", chain(Part{1, 100}, Part{3, 100})))
}

func TestEachIsMatchedForSeveral(t *testing.T) {
	x := NewIndex()
	c := chain(Part{1, 160})
	for range MinSightings {
		x.RecordSent("r1", 10000, c, "own")
	}
	ids, got := []string{"r0", "r1"}, make([]int, 2)
	x.MatchedEach(c, 2, func(i int) string { return ids[i] }, func(i, n int) { got[i] = n })
	require.Equal(t, []int{0, 160}, got)
	_, asked, hits := x.Stats()
	require.Equal(t, int64(1), asked)
	require.Equal(t, int64(1), hits)
}
