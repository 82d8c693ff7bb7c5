package lookout

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/plate"
	"shaletrestle/scope"
	"shaletrestle/tick"
)

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return
}

func TestEveryNodeIsWatchedByKOthers(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 50} {
		by := map[string]int{}
		for _, s := range names(n) {
			for _, w := range Set(s, names(n), plate.WatchersEach) {
				require.NotEqual(t, s, w)
				by[w]++
			}
		}
		for _, s := range names(n) {
			require.Equal(t, min(plate.WatchersEach, n-1), by[s], "%s of %d", s, n)
		}
	}
}

func TestOneNodeGoingMovesFewWatches(t *testing.T) {
	before, after := names(50), names(49)
	moved := 0
	for _, s := range after {
		old := map[string]bool{}
		for _, w := range Set(s, before, 2) {
			old[w] = true
		}
		for _, w := range Set(s, after, 2) {
			if !old[w] {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 10)
}

func TestSuspicionNeedsSeveralMissesAndEnds(t *testing.T) {
	up := true
	var told []string
	w := New(scope.New(slog.New(slog.DiscardHandler)), "a", tick.Seconds(1), func() []string { return []string{"a", "b"} },
		func(string) bool { return up }, func(n string, alive bool) { told = append(told, fmt.Sprint(n, alive)) })
	w.Round()
	up = false
	for range plate.MissesMost - 1 {
		w.Round()
	}
	up = true
	w.Round()
	require.Empty(t, told, "a few misses are chance")
	up = false
	for range plate.MissesMost + 3 {
		w.Round()
	}
	require.Equal(t, []string{"bfalse"}, told)
	require.Equal(t, []string{"b"}, w.Suspected())
	up = true
	w.Round()
	require.Equal(t, []string{"bfalse", "btrue"}, told)
}

func TestTheSetIsWorkedOutOnlyWhenTheNodesChanged(t *testing.T) {
	known := names(40)
	w := New(scope.New(slog.New(slog.DiscardHandler)), "node-7", tick.Seconds(1), func() []string { return known }, nil, nil)
	first := w.set()
	require.Equal(t, Set("node-7", known, plate.WatchersEach), first)
	require.NotEmpty(t, first)
	known = names(40)
	again := w.set()
	require.Same(t, &first[0], &again[0], "nothing changed, nothing is worked out")
	known = names(60)
	require.Equal(t, Set("node-7", known, plate.WatchersEach), w.set())
}

func TestWatchesAreSpreadOverTheNodes(t *testing.T) {
	ns := names(390)
	total := 0
	for _, s := range ns {
		n := len(Set(s, ns, plate.WatchersEach))
		total += n
		require.Less(t, n, 12, "%s", s)
	}
	require.Equal(t, 390*plate.WatchersEach, total)
}

func ExampleSet() {
	nodes := []string{"yard", "saw", "kiln", "dock"}
	watched := map[string]int{}
	for _, n := range nodes {
		for _, o := range Set(n, nodes, 2) {
			watched[o]++
		}
	}
	fmt.Println(watched["yard"], watched["saw"], watched["kiln"], watched["dock"])
	// Output: 2 2 2 2
}
