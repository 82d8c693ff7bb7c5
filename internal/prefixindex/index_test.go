package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func chain(prompt ...Part) *Chain { return NewChain(RootKey("m", 1), prompt) }

// perBlock is the source's index taken literally: one key a block, each with all that goes before it.
type perBlock map[string]bool

func blocks(prompt []Part) []string {
	var out []string
	key, fill := "root", 0
	piece := ""
	for _, part := range prompt {
		for at := 0; at < part.Tokens; {
			n := min(BlockTokens-fill, part.Tokens-at)
			piece += fmt.Sprintf("%x/%d/%d+%d ", part.ID, part.Tokens, at, n)
			at, fill = at+n, fill+n
			if fill == BlockTokens {
				key += "|" + piece
				out = append(out, key)
				piece, fill = "", 0
			}
		}
	}
	return out
}

func TestMatched_RandomPrompts_AsWithOneKeyABlock(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		index, lit := NewIndex(), perBlock{}
		parts := make([]Part, 6)
		for i := range parts {
			parts[i] = Part{uint64(i + 1), 1 + random.IntN(60)}
		}
		some := func() []Part {
			var prompt []Part
			for range 1 + random.IntN(4) {
				prompt = append(prompt, parts[random.IntN(len(parts))])
			}
			return prompt
		}
		for range 5 {
			prompt := some()
			for range MinSightings {
				index.RecordSent("r", 1<<30, chain(prompt...), "own")
			}
			for _, b := range blocks(prompt) {
				lit[b] = true
			}
		}
		for range 10 {
			prompt := some()
			want := 0
			for _, b := range blocks(prompt) {
				if !lit[b] {
					break
				}
				want += BlockTokens
			}
			got := index.Matched("r", chain(prompt...))
			require.Equal(t, want, got, "%v", prompt)
		}
	}
}

func TestMatched_StoredAndOtherPrompts_LongestCommonPrefix(t *testing.T) {
	index := NewIndex()
	prompt := chain(Part{1, 100}, Part{2, 400}, Part{9, 50})
	index.RecordSent("r", 1<<20, prompt, "own")
	require.Zero(t, index.Matched("r", prompt), "one sighting makes no entry")
	index.RecordSent("r", 1<<20, prompt, "own")
	require.Equal(t, 544, index.Matched("r", prompt))
	require.Equal(t, 496, index.Matched("r", chain(Part{1, 100}, Part{2, 400}, Part{8, 50})))
	require.Equal(t, 96, index.Matched("r", chain(Part{1, 100}, Part{3, 400})))
	require.Zero(t, index.Matched("r", chain(Part{2, 400}, Part{1, 100})), "a prefix, not a part")
	require.Zero(t, index.Matched("another incarnation", prompt))
	require.Zero(t, index.Matched("r", NewChain(RootKey("m", 2), prompt.Parts)), "other weights")
	require.Zero(t, index.Matched("r", NewChain(RootKey("n", 1), prompt.Parts)), "another model")
	index.Retain(map[string]bool{})
	require.Zero(t, index.Matched("r", prompt), "an earlier incarnation")
}

func TestRecordSent_CacheFull_OldestRunsEvictedChildrenFirst(t *testing.T) {
	index := NewIndex()
	for i := range 10 {
		prompt := chain(Part{1, 100}, Part{uint64(10 + i), 100})
		index.RecordSent("r", 500, prompt, "own")
		index.RecordSent("r", 500, prompt, "own")
	}
	require.Equal(t, 192, index.Matched("r", chain(Part{1, 100}, Part{19, 100})))
	require.Equal(t, 96, index.Matched("r", chain(Part{1, 100}, Part{10, 100})), "the shared part is kept, the oldest own one evicted")
	require.Equal(t, 5, index.Stats().Runs)
}

func TestContradicted_SeveralInARow_HintDropped(t *testing.T) {
	index := NewIndex()
	prompt := chain(Part{1, 100}, Part{2, 100})
	index.RecordSent("r", 1000, prompt, "own")
	index.RecordSent("r", 1000, prompt, "own")
	for range MaxContradictions - 1 {
		index.Contradicted("r", prompt)
	}
	index.Confirmed("r", prompt)
	index.Contradicted("r", prompt)
	require.NotZero(t, index.Matched("r", prompt))
	for range MaxContradictions {
		index.Contradicted("r", prompt)
	}
	require.Zero(t, index.Matched("r", prompt))
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
		for _, part := range ParseParts(s) {
			require.GreaterOrEqual(t, part.Tokens, 0)
		}
	})
}

func TestSketch_RandomKeys_NeverCountsTooLittle(t *testing.T) {
	sketch, seen := &sketch{}, map[Key]int{}
	random := rand.New(rand.NewPCG(3, 4))
	for range 5000 {
		key := Key(random.IntN(500))
		seen[key]++
		sketch.add(key)
	}
	for key, n := range seen {
		require.GreaterOrEqual(t, sketch.count(key), n)
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
	require.Equal(t, 300, index.Stats().Runs, "the size of the index is never exceeded")
	shares := index.OwnerShares()
	require.Equal(t, "reports", shares[0].User)
	require.Equal(t, int64(200), shares[0].Used, "and the heavy one has the rest")
	index.Retain(map[string]bool{})
	require.Zero(t, index.Stats().Runs)
	require.Empty(t, index.OwnerShares())
}
