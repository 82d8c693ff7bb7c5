package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func anyone(string) bool { return true }

func TestHolders_RandomIndex_ThoseWithMostCached(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 100 {
		index := NewIndex()
		ids := []string{}
		for i := range 8 {
			ids = append(ids, fmt.Sprintf("r%d", i))
		}
		some := func() *Chain {
			var prompt []Part
			for i := range 1 + random.IntN(4) {
				prompt = append(prompt, Part{uint64(10*i + random.IntN(2)), 16 * (1 + i)})
			}
			return chain(prompt...)
		}
		for range 60 {
			index.RecordSent(ids[random.IntN(len(ids))], 16*(1+random.IntN(40)), some(), "own")
			if random.IntN(10) == 0 {
				index.Forget(ids[random.IntN(len(ids))])
			}
			if random.IntN(10) == 0 {
				index.ReserveTokens(ids[random.IntN(len(ids))], float64(random.IntN(400)))
			}
		}
		n := 0
		for _, holders := range index.holders {
			for i, held := range holders {
				require.Equal(t, i, held.position)
				require.Same(t, held, held.cache.runs[held.key].Value.(*run))
				n++
			}
		}
		require.Equal(t, index.runs, n, "the holders name each run once")
		for range 10 {
			prompt := some()
			best := 0
			for _, id := range ids {
				best = max(best, index.Matched(id, prompt))
			}
			got := index.Holders(prompt, make([]string, 0, 3), anyone)
			require.LessOrEqual(t, len(got), 3)
			if best == 0 {
				continue
			}
			require.NotEmpty(t, got)
			require.Equal(t, best, index.Matched(got[0], prompt), "the first has as much as any")
		}
	}
}

func TestHolders_NotEligible_LeftOut(t *testing.T) {
	index := NewIndex()
	prompt := chain(Part{1, 160}, Part{2, 160})
	for i := range 5 {
		for range MinSightings {
			index.RecordSent(fmt.Sprintf("r%d", i), 10000, prompt, "own")
		}
	}
	require.Equal(t, []string{"r3"}, index.Holders(prompt, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	index.Forget("r3")
	require.Empty(t, index.Holders(prompt, make([]string, 0, 4), func(id string) bool { return id == "r3" }))
	require.Len(t, index.Holders(prompt, make([]string, 0, 4), anyone), 4)
}

func TestSetBlockTokens_LargerBlocks_RoundedDownToThem(t *testing.T) {
	index := NewIndex()
	index.SetBlockTokens(64)
	prompt := chain(Part{1, 100}, Part{2, 100})
	for range MinSightings {
		index.RecordSent("r", 10000, prompt, "own")
	}
	require.Equal(t, 192, index.Matched("r", prompt))
	require.Equal(t, 64, index.Matched("r", chain(Part{1, 100}, Part{3, 100})))
}

func TestMatchedEach_TwoReplicas_AsMatched(t *testing.T) {
	index := NewIndex()
	prompt := chain(Part{1, 160})
	for range MinSightings {
		index.RecordSent("r1", 10000, prompt, "own")
	}
	ids, got := []string{"r0", "r1"}, make([]int, 2)
	index.MatchedEach(prompt, 2, func(i int) string { return ids[i] }, func(i, n int) { got[i] = n })
	require.Equal(t, []int{0, 160}, got)
	require.Equal(t, int64(1), index.Stats().Lookups)
	require.Equal(t, int64(1), index.Stats().Hits)
}
