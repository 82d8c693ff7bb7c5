package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serviceOf(id string) string {
	if id == "nobody" {
		return ""
	}
	return "p"
}

func TestEvaluate_ReportsOfOneNode_NoSuspect(t *testing.T) {
	aggregator, size := NewAggregator(), map[string]int{"p": 20}
	aggregator.AddReports([]Report{{"r1", 1, 0, 50}, {"nobody", 2, 0, 50}, {"r2", 1, 0, math.NaN()}, {"r2", 2, 0, 1e9}, {"r2", 3, 0, -5}}, serviceOf, at(0))
	suspects := aggregator.Evaluate(size, at(0))
	require.Empty(t, suspects.IDs)
	require.False(t, suspects.Publish)
	aggregator.AddReports([]Report{{"r1", 2, 0, 1}}, serviceOf, at(0.1))
	suspects = aggregator.Evaluate(size, at(0.1))
	require.Equal(t, []string{"r1"}, suspects.IDs)
	require.True(t, suspects.Publish)
	suspects = aggregator.Evaluate(size, at(0.2))
	require.False(t, suspects.Publish, "published once")
	suspects = aggregator.Evaluate(size, at(0.2).Add(suspicionLifetime/2))
	require.True(t, suspects.Publish, "and again before it expires")
}

func TestEvaluate_SuccessesOrTime_SuspicionEnds(t *testing.T) {
	size := map[string]int{"p": 20}
	start := func() *Aggregator {
		aggregator := NewAggregator()
		aggregator.AddReports([]Report{{"r1", 1, 0, 3}, {"r1", 2, 0, 3}}, serviceOf, at(0))
		suspects := aggregator.Evaluate(size, at(0))
		require.Len(t, suspects.IDs, 1)
		return aggregator
	}
	aggregator := start()
	aggregator.AddReports([]Report{{"r1", 1, 3, 3}, {"r1", 2, 4, 2}}, serviceOf, at(1))
	suspects := aggregator.Evaluate(size, at(1))
	require.Len(t, suspects.IDs, 1, "half of them fail")
	aggregator = start()
	aggregator.AddReports([]Report{{"r1", 1, clearingSuccesses, 0}}, serviceOf, at(1))
	suspects = aggregator.Evaluate(size, at(1))
	require.Empty(t, suspects.IDs)
	require.True(t, suspects.Publish)
	aggregator = start()
	suspects = aggregator.Evaluate(size, at(0).Add(maxSuspicionTime))
	require.Empty(t, suspects.IDs)
	aggregator = start()
	aggregator.Reset()
	suspects = aggregator.Evaluate(size, at(0.1))
	require.Empty(t, suspects.IDs)
	aggregator = start()
	suspects = aggregator.Evaluate(map[string]int{}, at(0.1))
	require.Empty(t, suspects.IDs, "its service is gone")
}

func TestEvaluate_RandomFaults_NeverMoreThanPartSuspect(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		n := 1 + random.IntN(40)
		aggregator, size := NewAggregator(), map[string]int{"p": n}
		for step := range 100 {
			now := at(float64(step) * 0.4)
			for range random.IntN(30) {
				aggregator.AddReports([]Report{{fmt.Sprintf("r%d", random.IntN(n)), uint64(random.IntN(6)), random.Float64() * 3, random.Float64() * 10 * float64(random.IntN(2))}}, serviceOf, now)
			}
			suspects := aggregator.Evaluate(size, now)
			require.LessOrEqual(t, len(suspects.IDs), max(1, n/ejectableOneIn))
			require.True(t, len(suspects.IDs) < n || n == 0)
		}
	}
}

func TestEvaluate_AllFailAlike_NoSuspect(t *testing.T) {
	aggregator, size := NewAggregator(), map[string]int{"p": 10}
	for i := range 10 {
		aggregator.AddReports([]Report{{fmt.Sprintf("r%d", i), 1, 0, 5}, {fmt.Sprintf("r%d", i), 2, 0, 5}}, serviceOf, at(0))
	}
	suspects := aggregator.Evaluate(size, at(0))
	require.Empty(t, suspects.IDs)
}

// testFleet is nodes that share out the requests of one service, some of whose replicas are grey.
type testFleet struct {
	random     *rand.Rand
	nodes      []*Detector
	aggregator *Aggregator
	replicas   int
	grey       int // the first so many fail
	greyEnd    float64
}

// requestCounts counts the requests of some time.
type requestCounts struct {
	failed int
	all    int
	grey   int // sent to grey replicas
}

func newTestFleet(random *rand.Rand) *testFleet {
	fleet := &testFleet{random: random, aggregator: NewAggregator(), replicas: 89, grey: 12, greyEnd: 10}
	services := map[string]string{}
	for i := range fleet.replicas {
		services[fmt.Sprintf("r%d", i)] = "p"
	}
	for range 88 {
		node := NewDetector()
		node.SetReplicas(services)
		node.random = random.Float64
		fleet.nodes = append(fleet.nodes, node)
	}
	return fleet
}

// choose draws a replica that is fit for a node.
func (f *testFleet) choose(node *Detector, now time.Time) (number int, id string) {
	for {
		number = f.random.IntN(f.replicas)
		id = fmt.Sprintf("r%d", number)
		if node.Fitness(id, f.random.IntN(8) == 0, now) == Fit {
			return number, id
		}
	}
}

// run sends a request each millisecond of some seconds and exchanges reports every 400.
func (f *testFleet) run(from, to float64) requestCounts {
	var counts requestCounts
	for second := from; second < to; second += 0.001 {
		now := at(second)
		node := f.nodes[f.random.IntN(len(f.nodes))]
		number, id := f.choose(node, now)
		counts.all++
		node.RequestSent(id)
		isGrey := number < f.grey
		if isGrey {
			counts.grey++
		}
		if isGrey && second < f.greyEnd && f.random.Float64() < 0.45 {
			counts.failed++
			node.RecordFailure(id, ServerError, now)
		} else {
			node.RecordSuccess(id, Answer{Took: 50 * time.Millisecond, Predicted: 50 * time.Millisecond})
		}
		node.RequestEnded(id)
		if int(second*1000)%400 == 0 {
			f.exchange(now)
		}
	}
	return counts
}

func (f *testFleet) exchange(now time.Time) {
	for number, node := range f.nodes {
		f.aggregator.AddReports(node.TakeReports(uint64(number), now), serviceOf, now)
	}
	if suspects := f.aggregator.Evaluate(map[string]int{"p": f.replicas}, now); suspects.Publish {
		for _, node := range f.nodes {
			node.SetSuspects(suspects.IDs, now)
		}
	}
}

// TestAggregator_GreyReplicas_EjectedThenUsedAgain: the fleet finds grey replicas though each node sees next to nothing of them, and uses them again when they work.
func TestAggregator_GreyReplicas_EjectedThenUsedAgain(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fleet := newTestFleet(rand.New(rand.NewPCG(seed, 9)))
			first := fleet.run(0, 1)
			later := fleet.run(3, 10)
			require.Greater(t, first.failed, 25)
			require.Less(t, later.failed, 7*first.failed/2, "per second half at most")
			fleet.run(10, 25)
			after := fleet.run(25, 30)
			require.Zero(t, after.failed)
			require.Greater(t, after.grey*fleet.replicas, after.all*fleet.grey*3/4, "they get their part of the requests again")
		})
	}
}
