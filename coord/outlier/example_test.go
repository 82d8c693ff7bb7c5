package outlier_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/outlier"
)

// A node asks before it sends, and records how each request ended.
func ExampleDetector() {
	detector := outlier.NewDetector()
	detector.SetReplicas(map[string]string{"replica-1": "search", "replica-2": "search", "replica-3": "search"})
	now := time.Now()

	detector.RequestSent("replica-1")
	detector.RecordFailure("replica-1", outlier.Timeout, now)
	detector.RequestEnded("replica-1")

	for _, id := range []string{"replica-1", "replica-2"} {
		fmt.Println(id, detector.Fitness(id, true, now) == outlier.Fit)
	}
	later := now.Add(outlier.FirstEjectionTime)
	fmt.Println("one trial later:", detector.Fitness("replica-1", true, later) == outlier.Fit)
	// Output:
	// replica-1 false
	// replica-2 true
	// one trial later: true
}

// One process adds up what the nodes report; a suspicion needs the reports of two.
func ExampleAggregator() {
	aggregator := outlier.NewAggregator()
	serviceOf := func(string) string { return "search" }
	sizes := map[string]int{"search": 3}
	now := time.Now()

	aggregator.AddReports([]outlier.Report{{ReplicaID: "replica-1", Node: 1, Failures: 2}}, serviceOf, now)
	fmt.Println(aggregator.Evaluate(sizes, now).IDs)
	aggregator.AddReports([]outlier.Report{{ReplicaID: "replica-1", Node: 2, Failures: 2}}, serviceOf, now)
	fmt.Println(aggregator.Evaluate(sizes, now).IDs)
	// Output:
	// []
	// [replica-1]
}
