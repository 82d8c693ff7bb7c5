package slowness_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/slowness"
)

// A machine that takes five times its baseline refuses new connections once it knows of healthy peers.
func ExampleDetector() {
	detector := slowness.NewDetector()
	for range 20 {
		detector.Step(10*time.Microsecond, 0)
	}
	for range 4 {
		detector.Step(50*time.Microsecond, 0)
	}
	fmt.Println("slow:", detector.Slow(), "refuses:", detector.ShouldRefuseNew())
	detector.UpdatePeer("node-b", false)
	detector.Step(50*time.Microsecond, 0)
	fmt.Println("slow:", detector.Slow(), "refuses:", detector.ShouldRefuseNew())
	// Output:
	// slow: true refuses: false
	// slow: true refuses: true
}
