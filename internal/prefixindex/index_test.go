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

func TestRunsGiveWhatBlocksGive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		x, lit := NewIndex(), perBlock{}
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
				x.RecordSent("r", 1<<30, chain(ps...), "own")
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
			got := x.Matched("r", chain(ps...))
			require.Equal(t, want, got, "%v", ps)
		}
	}
}

func TestStoredPromptsMatchWholeAndDifferentOnesDoNot(t *testing.T) {
	x := NewIndex()
	a := chain(Part{1, 100}, Part{2, 400}, Part{9, 50})
	x.RecordSent("r", 1<<20, a, "own")
	require.Zero(t, x.Matched("r", a), "one sighting is no reason to keep anything")
	x.RecordSent("r", 1<<20, a, "own")
	require.Equal(t, 544, x.Matched("r", a))
	require.Equal(t, 496, x.Matched("r", chain(Part{1, 100}, Part{2, 400}, Part{8, 50})))
	require.Equal(t, 96, x.Matched("r", chain(Part{1, 100}, Part{3, 400})))
	require.Zero(t, x.Matched("r", chain(Part{2, 400}, Part{1, 100})), "a prefix, not a part")
	require.Zero(t, x.Matched("other life", a))
	require.Zero(t, x.Matched("r", NewChain(RootKey("m", 2), a.Parts)), "other weights")
	require.Zero(t, x.Matched("r", NewChain(RootKey("n", 1), a.Parts)), "another model")
	x.Retain(map[string]bool{})
	require.Zero(t, x.Matched("r", a), "a life that is over")
}

func TestOldestRunsGiveWayAndParentsOutliveChildren(t *testing.T) {
	x := NewIndex()
	for i := range 10 {
		c := chain(Part{1, 100}, Part{uint64(10 + i), 100})
		x.RecordSent("r", 500, c, "own")
		x.RecordSent("r", 500, c, "own")
	}
	require.Equal(t, 192, x.Matched("r", chain(Part{1, 100}, Part{19, 100})))
	require.Equal(t, 96, x.Matched("r", chain(Part{1, 100}, Part{10, 100})), "the shared head is kept, the oldest is not")
	runs, _, _ := x.Stats()
	require.Equal(t, 5, runs)
}

func TestAHintContradictedOftenIsDropped(t *testing.T) {
	x := NewIndex()
	c := chain(Part{1, 100}, Part{2, 100})
	x.RecordSent("r", 1000, c, "own")
	x.RecordSent("r", 1000, c, "own")
	for range MaxContradictions - 1 {
		x.Contradicted("r", c)
	}
	x.Confirmed("r", c)
	x.Contradicted("r", c)
	require.NotZero(t, x.Matched("r", c))
	for range MaxContradictions {
		x.Contradicted("r", c)
	}
	require.Zero(t, x.Matched("r", c))
}

func TestParsePartsTakesOnlyWhatIsWhole(t *testing.T) {
	require.Equal(t, []Part{{0x5c1e07a2, 800}, {0x91bd3f06, 410}}, ParseParts("5c1e07a2:800,91bd3f06:410"))
	for _, s := range []string{"", "a", "a:", "a:b", "a:-1", ":3", "a:1,,b:2", "a:999999999999"} {
		require.Nil(t, ParseParts(s), s)
	}
}

func TestBreakEven(t *testing.T) {
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

func TestSketchNeverCountsTooLittle(t *testing.T) {
	s, seen := &Sketch{}, map[Key]int{}
	r := rand.New(rand.NewPCG(3, 4))
	for range 5000 {
		k := Key(r.IntN(500))
		seen[k]++
		s.Add(k)
	}
	for k, n := range seen {
		require.GreaterOrEqual(t, s.Count(k), n)
	}
}

func TestAHeavyOwnerLeavesTheOthersTheirPortion(t *testing.T) {
	x := NewSizedIndex(300)
	light := func(i int) *Chain { return chain(Part{uint64(1000 + i), 64}, Part{uint64(5000 + i), 64}) }
	for i := range 50 {
		for range MinSightings {
			x.RecordSent("r", 1<<30, light(i), "lookups")
		}
	}
	for i := range 2000 {
		for range MinSightings {
			x.RecordSent("r", 1<<30, chain(Part{uint64(100000 + i), 64}), "ledgers")
		}
	}
	for i := range 50 {
		require.Equal(t, 128, x.Matched("r", light(i)), "%d", i)
	}
	runs, _, _ := x.Stats()
	require.Equal(t, 300, runs, "the whole is never exceeded")
	ps := x.OwnerShares()
	require.Equal(t, "ledgers", ps[0].User)
	require.Equal(t, int64(200), ps[0].Used, "and the heavy one has all that is left")
	x.Retain(map[string]bool{})
	runs, _, _ = x.Stats()
	require.Zero(t, runs)
	require.Empty(t, x.OwnerShares())
}
