package failuredetector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

func nodeNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return out
}

func TestWatchedBy_AnyFleetSize_EachNodeHasItsWatchers(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 50} {
		by := map[string]int{}
		for _, s := range nodeNames(n) {
			for _, w := range WatchedBy(s, nodeNames(n), watchersPerNode) {
				require.NotEqual(t, s, w)
				by[w]++
			}
		}
		for _, s := range nodeNames(n) {
			require.Equal(t, min(watchersPerNode, n-1), by[s], "%s of %d", s, n)
		}
	}
}

// assignmentByDefinition is WatchedBy by its definition: every weight of every node against self's.
func assignmentByDefinition(self string, nodes []string, k int) (out []string) {
	weight := func(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
	for _, n := range nodes {
		before := 0
		for _, o := range nodes {
			if o != n && o != self && weight(n, o) > weight(n, self) {
				before++
			}
		}
		if n != self && before < k {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

func TestWatchedBy_RandomFleets_EqualsItsDefinition(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 60 {
		all := nodeNames(1 + r.IntN(90))
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		ns, k := all[:1+r.IntN(len(all))], r.IntN(5)
		for _, s := range all { // one that isn't known yet too
			require.Equal(t, assignmentByDefinition(s, ns, k), WatchedBy(s, ns, k), "%s of %v, %d watchers", s, ns, k)
		}
	}
}

func TestWatcherRound_NodesChanged_PingsTheNewOnes(t *testing.T) {
	var mu sync.Mutex
	known, pinged := []string{"a", "b"}, map[string]bool{}
	w := New(Options{
		Self:     "a",
		Interval: time.Second,
		Nodes:    func() []string { return known },
		Ping:     func(n string) bool { mu.Lock(); pinged[n] = true; mu.Unlock(); return true },
		Report:   func(string, bool) {},
	})
	w.Round()
	require.Equal(t, map[string]bool{"b": true}, pinged)
	known = []string{"a", "c"}
	clear(pinged)
	w.Round()
	require.Equal(t, map[string]bool{"c": true}, pinged)
}

func BenchmarkWatchedBy(b *testing.B) {
	for _, n := range []int{11, 88, 390} {
		ns := nodeNames(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				WatchedBy(ns[0], ns, watchersPerNode)
			}
		})
		b.Run(fmt.Sprint("definition-", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assignmentByDefinition(ns[0], ns, watchersPerNode)
			}
		})
	}
}

func TestWatchedBy_OneNodeGone_MovesFewAssignments(t *testing.T) {
	before, after := nodeNames(50), nodeNames(49)
	moved := 0
	for _, s := range after {
		old := map[string]bool{}
		for _, w := range WatchedBy(s, before, 2) {
			old[w] = true
		}
		for _, w := range WatchedBy(s, after, 2) {
			if !old[w] {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 10)
}

func TestWatcherRound_SeveralMisses_SuspectedUntilAlive(t *testing.T) {
	up := true
	var reports []string
	w := New(Options{
		Self:     "a",
		Interval: time.Second,
		Nodes:    func() []string { return []string{"a", "b"} },
		Ping:     func(string) bool { return up },
		Report:   func(n string, alive bool) { reports = append(reports, fmt.Sprint(n, alive)) },
	})
	w.Round()
	up = false
	for range missesToSuspect - 1 {
		w.Round()
	}
	up = true
	w.Round()
	require.Empty(t, reports, "a few misses are chance")
	up = false
	for range missesToSuspect - 1 {
		w.Round()
	}
	require.Empty(t, reports)
	for i := range 4 { // once a round for as long as it lasts
		w.Round()
		require.Equal(t, slices.Repeat([]string{"bfalse"}, i+1), reports)
	}
	require.Equal(t, []string{"b"}, w.Suspected())
	up = true
	w.Round()
	w.Round()
	require.Equal(t, []string{"bfalse", "bfalse", "bfalse", "bfalse", "btrue"}, reports)
	require.Empty(t, w.Suspected())
}

func TestWatcherRun_LostNode_ReportedInTimeAndEachRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		up, every := true, 1200*time.Millisecond
		var mu sync.Mutex
		var reports []time.Time
		pinged := map[string]int{}
		w := New(Options{
			Self:     "a",
			Interval: every,
			Nodes:    func() []string { return []string{"a", "b", "c"} },
			Ping: func(n string) bool {
				mu.Lock()
				pinged[n]++
				ok := up || n != "b"
				mu.Unlock()
				if !ok {
					time.Sleep(rpc.CallTimeout)
				}
				return ok
			},
			Report: func(n string, alive bool) {
				require.Equal(t, "bfalse", fmt.Sprint(n, alive))
				mu.Lock()
				reports = append(reports, time.Now())
				mu.Unlock()
			},
		})
		go w.Run(ctx)
		time.Sleep(8*every + 50*time.Millisecond) // just after a round: the longest way
		mu.Lock()
		require.LessOrEqual(t, pinged["b"], 10, "one that answers is pinged once a round")
		up = false
		mu.Unlock()
		lost := time.Now()
		time.Sleep(20 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.Less(t, reports[0].Sub(lost), 3500*time.Millisecond, "the receiver has half a second of 4 s to publish it")
		for i := 1; i < len(reports); i++ {
			require.Less(t, reports[i].Sub(reports[i-1]), 2*every)
			require.Greater(t, reports[i].Sub(reports[i-1]), every/retriesPerRound)
		}
	})
}

func TestWatcherAssignment_NodesUnchanged_NotComputedAgain(t *testing.T) {
	known := nodeNames(40)
	w := New(Options{Self: "node-7", Interval: time.Second, Nodes: func() []string { return known }})
	first := w.assignment()
	require.Equal(t, WatchedBy("node-7", known, watchersPerNode), first)
	require.NotEmpty(t, first)
	known = nodeNames(40)
	again := w.assignment()
	require.Same(t, &first[0], &again[0], "the assignment is not computed again")
	known = nodeNames(60)
	require.Equal(t, WatchedBy("node-7", known, watchersPerNode), w.assignment())
}

func TestWatchedBy_LargeFleet_SpreadOverTheNodes(t *testing.T) {
	ns := nodeNames(390)
	total := 0
	for _, s := range ns {
		n := len(WatchedBy(s, ns, watchersPerNode))
		total += n
		require.Less(t, n, 12, "%s", s)
	}
	require.Equal(t, 390*watchersPerNode, total)
}

func ExampleWatchedBy() {
	nodes := []string{"a", "b", "c", "d"}
	watched := map[string]int{}
	for _, n := range nodes {
		for _, o := range WatchedBy(n, nodes, 2) {
			watched[o]++
		}
	}
	fmt.Println(watched["a"], watched["b"], watched["c"], watched["d"])
	// Output: 2 2 2 2
}
