package fairshare_test

import (
	"fmt"
	"time"

	"shaletrestle/coord/fairshare"
)

// Beyond half of the capacity no user gets more than a fair share, so that a newcomer finds room.
func ExampleShares() {
	connections := fairshare.New(4, fairshare.CalmFraction)
	fmt.Println(connections.TryAcquire("ledgers", 2), connections.TryAcquire("lookups", 1), connections.TryAcquire("ledgers", 1))
	connections.Release("ledgers", 2)
	fmt.Println(connections.TryAcquire("lookups", 1))
	// Output:
	// true true false
	// true
}

// A lender that has just become responsible waits until the loans of its predecessor have expired.
func ExampleLender() {
	lender := fairshare.NewLender(10, 12*time.Second)
	since := time.Unix(1000, 0)
	for _, after := range []time.Duration{5 * time.Second, 13 * time.Second, 14 * time.Second, 15 * time.Second, 30 * time.Second} {
		fmt.Println(after, lender.Lend("chat", 6, since, since.Add(after)))
	}
	// Output:
	// 5s 0
	// 13s 6
	// 14s 4
	// 15s 0
	// 30s 6
}
