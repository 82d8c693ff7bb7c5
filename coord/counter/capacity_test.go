package counter_test

import (
	"fmt"
	"testing"
	"time"

	"shaletrestle/coord/counter"
)

// fullStored is a disk with as many additions as a member of 102 MB takes, each written by itself, of some incarnations.
func fullStored() counter.Stored {
	const additions, incarnations, names = 110_000, 40, 10_000
	stored := counter.Stored{Complete: true}
	for i := range additions {
		origin := counter.Origin(1 + i*incarnations/additions)
		stored.Runs = append(stored.Runs, counter.Run{
			Origin: origin,
			First:  uint64(i%(additions/incarnations)) + 1,
			Additions: []counter.Addition{{
				Counter: fmt.Sprintf("t%d", i%names), ID: fmt.Sprintf("%016x", i), Amount: uint64(i % 9),
			}},
		})
	}
	return stored
}

func newFull(stored counter.Stored) *counter.Core {
	return counter.New(counter.Config{
		Self: counter.Member{ID: 1, Address: "10.0.0.1:1"}, Origin: 1 << 40, HasDisk: true, MaxBytes: 64 << 20, Stored: stored,
	})
}

// BenchmarkNew_FullDisk is the part of a restart that reads what the disk contained.
func BenchmarkNew_FullDisk(b *testing.B) {
	stored := fullStored()
	for b.Loop() {
		newFull(stored)
	}
	core := newFull(stored)
	b.ReportMetric(float64(core.Status().Bytes)/float64(core.Status().IDs), "accounted-B/id")
}

// BenchmarkStep_FullSet is one tick with a full set.
func BenchmarkStep_FullSet(b *testing.B) {
	core := newFull(fullStored())
	now := time.Duration(0)
	for b.Loop() {
		now += counter.TickInterval
		core.Step(now, counter.Tick{})
	}
}
