package failuredetector_test

import (
	"fmt"

	"shaletrestle/coord/failuredetector"
)

// A node that stops to answer is reported after three missed pings, and once more when it is back.
func ExampleWatcher() {
	up := true
	watcher := failuredetector.New(failuredetector.Options{
		Self:   "node-a",
		Nodes:  func() []string { return []string{"node-a", "node-b"} },
		Ping:   func(string) bool { return up },
		Report: func(node string, alive bool) { fmt.Println(node, "alive:", alive) },
	})
	up = false
	for range 3 {
		watcher.Round()
	}
	fmt.Println("suspected:", watcher.Suspected())
	up = true
	watcher.Round()
	fmt.Println("suspected:", watcher.Suspected())
	// Output:
	// node-b alive: false
	// suspected: [node-b]
	// node-b alive: true
	// suspected: []
}
