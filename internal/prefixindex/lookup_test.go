package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func anyone(string) bool { return true }

func TestHolders_RandomIndex_ThoseThatHoldTheMost(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	for range 100 {
		index := NewIndex()
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
			index.RecordSent(ids[r.IntN(len(ids))], 16*(1+r.IntN(40)), some(), "own")
			if r.IntN(10) == 0 {
				index.Forget(ids[r.IntN(len(ids))])
			}
			if r.IntN(10) == 0 {
				index.ReserveTokens(ids[r.IntN(len(ids))], float64(r.IntN(400)))
			}
		}
		n := 0
		for _, rs := range index.holders {
			for i, o := range rs {
				require.Equal(t, i, o.position)
				require.Same(t, o, o.cache.runs[o.key].Value.(*run))
				n++
			}
		}
		require.Equal(t, index.runs, n, "the reverse names each run once")
		for range 10 {
			c := some()
			best := 0
			for _, id := range ids {
				best = max(best, index.Matched(id, c))
			}
			got := index.Holders(c, make([]string, 0, 3), anyone)
			require.LessOrEqual(t, len(got), 3)
			if best == 0 {
				continue
			}
			require.NotEmpty(t, got)
			require.Equal(t, best, index.Matched(got[0], c), "the first holds as much as any")
		}
	}
}

func TestHolders_NotEligible_LeftOut(t *testing.T) {
	index := NewIndex()
	c := chain(Part{1, 160}, Part{2, 160})
	for i := range 5 {
		for range MinSightings {
			index.RecordSent(fmt.Sprintf("r%d", i), 10000, c, "own")
		}
	}
	require.Equal(t, []string{"r3"}, index.Holders(c, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	index.Forget("r3")
	require.Empty(t, index.Holders(c, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	require.Len(t, index.Holders(c, make([]string, 0, 4), anyone), 4)
}

func TestSetBlockTokens_LargerBlocks_RoundedDownToThem(t *testing.T) {
	index := NewIndex()
	index.SetBlockTokens(64)
	c := chain(Part{1, 100}, Part{2, 100})
	for range MinSightings {
		index.RecordSent("r", 10000, c, "own")
	}
	require.Equal(t, 192, index.Matched("r", c))
	require.Equal(t, 64, index.Matched("r", chain(Part{1, 100}, Part{3, 100})))
}

func TestMatchedEach_TwoReplicas_AsMatched(t *testing.T) {
	index := NewIndex()
	c := chain(Part{1, 160})
	for range MinSightings {
		index.RecordSent("r1", 10000, c, "own")
	}
	ids, got := []string{"r0", "r1"}, make([]int, 2)
	index.MatchedEach(c, 2, func(i int) string { return ids[i] }, func(i, n int) { got[i] = n })
	require.Equal(t, []int{0, 160}, got)
	require.Equal(t, int64(1), index.Stats().Lookups)
	require.Equal(t, int64(1), index.Stats().Hits)
}
