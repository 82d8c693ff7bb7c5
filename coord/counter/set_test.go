package counter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// randomRuns are the additions of some origins, cut into runs.
func randomRuns(random *rand.Rand) []Run {
	var runs []Run
	for origin := Origin(1); origin <= 4; origin++ {
		next := uint64(1)
		for range 6 {
			run := Run{Origin: origin, First: next}
			for range 1 + random.IntN(4) {
				id := fmt.Sprint(random.IntN(40))
				run.Additions = append(run.Additions, Addition{Counter: "t" + id[:1], ID: id, Amount: random.Uint64N(5)})
			}
			next += uint64(len(run.Additions))
			runs = append(runs, run)
		}
	}
	return runs
}

// mergeAll merges runs in a random order, each several times, until all are taken.
func mergeAll(random *rand.Rand, runs []Run) *Set {
	set := NewSet(99)
	for range 8 {
		for _, i := range random.Perm(len(runs)) {
			set.Merge(runs[i])
		}
	}
	return set
}

func TestMerge_AnyOrderAndRepeats_GiveTheSameSet(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		runs := randomRuns(random)
		greatest := map[string]uint64{}
		for _, run := range runs {
			for _, addition := range run.Additions {
				greatest[addition.ID] = max(greatest[addition.ID], addition.Amount)
			}
		}
		first, second := mergeAll(random, runs), mergeAll(random, runs)
		require.Equal(t, first.Vector(), second.Vector())
		require.Equal(t, first.Digest(), second.Digest())
		require.Equal(t, digestOf(first.Vector()), first.Digest())
		require.Equal(t, len(greatest), first.IDs())
		for i := range 10 {
			name, want := fmt.Sprint("t", i), uint64(0)
			for id, amount := range greatest {
				if id[:1] == name[1:] {
					want += amount
				}
			}
			require.Equal(t, want, first.Total(name), "an id counts once, with its greatest amount")
			require.Equal(t, want, second.Total(name))
		}
	}
}

func TestMerge_RunBehindAGapOrHeldAlready_IsNotTaken(t *testing.T) {
	set := NewSet(1)
	a, b, c := Addition{"t", "a", 1}, Addition{"t", "b", 2}, Addition{"t", "c", 4}
	require.Zero(t, set.Merge(Run{Origin: 5, First: 2, Additions: []Addition{b}}))
	require.Zero(t, set.Merge(Run{Origin: 5, First: 0, Additions: []Addition{b}}))
	require.Equal(t, 2, set.Merge(Run{Origin: 5, First: 1, Additions: []Addition{a, b}}))
	require.Zero(t, set.Merge(Run{Origin: 5, First: 1, Additions: []Addition{a, b}}))
	require.Equal(t, 1, set.Merge(Run{Origin: 5, First: 2, Additions: []Addition{b, c}}), "the part that is new")
	require.Equal(t, uint64(7), set.Total("t"))
	require.Equal(t, Run{Origin: 5, First: 2, Additions: []Addition{b, c}}, set.Run(5, 2, 1<<20))
	require.Equal(t, Run{Origin: 5, First: 2, Additions: []Addition{b}}, set.Run(5, 2, 1), "one at least")
	require.Equal(t, Run{Origin: 5, First: 4}, set.Run(5, 4, 1<<20))
}

func TestVector_Covers(t *testing.T) {
	require.True(t, Vector{1: 2, 3: 1}.Covers(Vector{1: 2}))
	require.True(t, Vector{}.Covers(nil))
	require.False(t, Vector{1: 2}.Covers(Vector{1: 3}))
	require.False(t, Vector{1: 2}.Covers(Vector{4: 1}))
}

func BenchmarkSet_Add(b *testing.B) {
	set := NewSet(1)
	b.ReportAllocs()
	for i := range b.N {
		set.append(1, Addition{Counter: "t", ID: fmt.Sprintf("%016x", i), Amount: 1})
	}
}
