package simtest

import (
	"slices"

	"shaletrestle/coord/counter"
)

// counterDisk is a controller.CounterStore on the disk of an incarnation, with its faults.
type counterDisk struct{ *incarnation }

// Load is controller.CounterStore's.
func (d counterDisk) Load() counter.Stored {
	d.mu.Lock()
	defer d.mu.Unlock()
	return counter.Stored{Runs: slices.Clone(d.counters.Runs), Complete: d.counters.Complete}
}

// Append is controller.CounterStore's.
func (d counterDisk) Append(runs []counter.Run, complete bool) error {
	return d.ifAlive(func() error {
		if err := d.Disk.write(); err != nil {
			return err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.counters.Runs = append(d.counters.Runs, runs...)
		d.counters.Complete = d.counters.Complete || complete
		return nil
	})
}
