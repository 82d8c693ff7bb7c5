package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func chain(ps ...Part) *Chain { return NewChain(RootKey("m", 1), ps) }

// perBlock is the source's index taken literally: one key a block, each with all that goes before it.
type perBlock map[string]bool

func blocks(ps []Part) (out []string) {
	key, fill := "root", 0
	piece := ""
	for _, p := range ps {
		for at := 0; at < p.Tokens; {
			n := min(BlockTokens-fill, p.Tokens-at)
			piece += fmt.Sprintf("%x/%d/%d+%d ", p.ID, p.Tokens, at, n)
			at, fill = at+n, fill+n
			if fill == BlockTokens {
				key += "|" + piece
				out = append(out, key)
				piece, fill = "", 0
			}
		}
	}
	return
}

func TestMatched_RandomPrompts_AsWithOneKeyABlock(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		index, lit := NewIndex(), perBlock{}
		parts := make([]Part, 6)
		for i := range parts {
			parts[i] = Part{uint64(i + 1), 1 + r.IntN(60)}
		}
		some := func() []Part {
			var ps []Part
			for range 1 + r.IntN(4) {
				ps = append(ps, parts[r.IntN(len(parts))])
			}
			return ps
		}
		for range 5 {
			ps := some()
			for range MinSightings {
				index.RecordSent("r", 1<<30, chain(ps...), "own")
			}
			for _, b := range blocks(ps) {
				lit[b] = true
			}
		}
		for range 10 {
			ps := some()
			want := 0
			for _, b := range blocks(ps) {
				if !lit[b] {
					break
				}
				want += BlockTokens
			}
			got := index.Matched("r", chain(ps...))
			require.Equal(t, want, got, "%v", ps)
		}
	}
}

func TestMatched_StoredAndOtherPrompts_LongestCommonPrefix(t *testing.T) {
	index := NewIndex()
	a := chain(Part{1, 100}, Part{2, 400}, Part{9, 50})
	index.RecordSent("r", 1<<20, a, "own")
	require.Zero(t, index.Matched("r", a), "one sighting is no reason to hold anything")
	index.RecordSent("r", 1<<20, a, "own")
	require.Equal(t, 544, index.Matched("r", a))
	require.Equal(t, 496, index.Matched("r", chain(Part{1, 100}, Part{2, 400}, Part{8, 50})))
	require.Equal(t, 96, index.Matched("r", chain(Part{1, 100}, Part{3, 400})))
	require.Zero(t, index.Matched("r", chain(Part{2, 400}, Part{1, 100})), "a prefix, not a part")
	require.Zero(t, index.Matched("another incarnation", a))
	require.Zero(t, index.Matched("r", NewChain(RootKey("m", 2), a.Parts)), "other weights")
	require.Zero(t, index.Matched("r", NewChain(RootKey("n", 1), a.Parts)), "another model")
	index.Retain(map[string]bool{})
	require.Zero(t, index.Matched("r", a), "an incarnation that is over")
}

func TestRecordSent_CacheFull_OldestRunsEvictedChildrenFirst(t *testing.T) {
	index := NewIndex()
	for i := range 10 {
		c := chain(Part{1, 100}, Part{uint64(10 + i), 100})
		index.RecordSent("r", 500, c, "own")
		index.RecordSent("r", 500, c, "own")
	}
	require.Equal(t, 192, index.Matched("r", chain(Part{1, 100}, Part{19, 100})))
	require.Equal(t, 96, index.Matched("r", chain(Part{1, 100}, Part{10, 100})), "the shared part is held, the oldest own one is not")
	require.Equal(t, 5, index.Stats().Runs)
}

func TestContradicted_SeveralInARow_HintDropped(t *testing.T) {
	index := NewIndex()
	c := chain(Part{1, 100}, Part{2, 100})
	index.RecordSent("r", 1000, c, "own")
	index.RecordSent("r", 1000, c, "own")
	for range MaxContradictions - 1 {
		index.Contradicted("r", c)
	}
	index.Confirmed("r", c)
	index.Contradicted("r", c)
	require.NotZero(t, index.Matched("r", c))
	for range MaxContradictions {
		index.Contradicted("r", c)
	}
	require.Zero(t, index.Matched("r", c))
}

func TestParseParts_Header_PartsOrNil(t *testing.T) {
	require.Equal(t, []Part{{0x5c1e07a2, 800}, {0x91bd3f06, 410}}, ParseParts("5c1e07a2:800,91bd3f06:410"))
	for _, s := range []string{"", "a", "a:", "a:b", "a:-1", ":3", "a:1,,b:2", "a:999999999999"} {
		require.Nil(t, ParseParts(s), s)
	}
}

func TestFetchPays_LinkSpeeds_BreakEvenOfTheSource(t *testing.T) {
	// the source: 320 KiB a token, 35 us a token: about 9.3 GB/s
	require.True(t, FetchPays(327680, 75e3, 35e-6))
	require.False(t, FetchPays(327680, 74e3, 35e-6))
	require.False(t, FetchPays(1, 0, 1))
}

func FuzzParseParts(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410")
	f.Fuzz(func(t *testing.T, s string) {
		for _, p := range ParseParts(s) {
			require.GreaterOrEqual(t, p.Tokens, 0)
		}
	})
}

func TestSketch_RandomKeys_NeverCountsTooLittle(t *testing.T) {
	s, seen := &sketch{}, map[Key]int{}
	r := rand.New(rand.NewPCG(3, 4))
	for range 5000 {
		k := Key(r.IntN(500))
		seen[k]++
		s.add(k)
	}
	for k, n := range seen {
		require.GreaterOrEqual(t, s.count(k), n)
	}
}

func TestRecordSent_HeavyOwner_OthersKeepTheirShare(t *testing.T) {
	index := NewSizedIndex(300)
	light := func(i int) *Chain { return chain(Part{uint64(1000 + i), 64}, Part{uint64(5000 + i), 64}) }
	for i := range 50 {
		for range MinSightings {
			index.RecordSent("r", 1<<30, light(i), "lookups")
		}
	}
	for i := range 2000 {
		for range MinSightings {
			index.RecordSent("r", 1<<30, chain(Part{uint64(100000 + i), 64}), "reports")
		}
	}
	for i := range 50 {
		require.Equal(t, 128, index.Matched("r", light(i)), "%d", i)
	}
	require.Equal(t, 300, index.Stats().Runs, "the whole is never exceeded")
	ps := index.OwnerShares()
	require.Equal(t, "reports", ps[0].User)
	require.Equal(t, int64(200), ps[0].Used, "and the heavy one has all that is left")
	index.Retain(map[string]bool{})
	require.Zero(t, index.Stats().Runs)
	require.Empty(t, index.OwnerShares())
}
