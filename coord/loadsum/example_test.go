package loadsum_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/loadsum"
)

// Two nodes report what they have sent to three replicas of a service; the overloaded one stands out.
func ExampleSum() {
	now := time.Unix(0, 0)
	sum := loadsum.NewSum()
	sum.Put(1, []loadsum.Load{{Key: loadsum.Key("replica-1"), Tokens: 40000}, {Key: loadsum.Key("replica-2"), Tokens: 3000}}, now)
	sum.Put(2, []loadsum.Load{{Key: loadsum.Key("replica-1"), Tokens: 20000}}, now)
	services := &loadsum.Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"chat": 3}}
	for _, id := range []string{"replica-1", "replica-2", "replica-3"} {
		services.ByReplica[loadsum.Key(id)] = "chat"
	}
	for _, load := range loadsum.Excess(sum.Total(now), services) {
		fmt.Println(load.Key == loadsum.Key("replica-1"), load.Tokens)
	}
	fmt.Println(len(sum.Total(now.Add(time.Second))))
	// Output:
	// true 28700
	// 0
}
