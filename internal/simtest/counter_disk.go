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
	return d.save(func() {
		d.counters.Runs = append(d.counters.Runs, runs...)
		d.counters.Complete = d.counters.Complete || complete
	})
}

// Rewrite is controller.CounterStore's.
func (d counterDisk) Rewrite(all []counter.Run, complete bool) error {
	return d.save(func() { d.counters = counter.Stored{Runs: all, Complete: complete} })
}

// save changes the disk by a write.
func (d counterDisk) save(change func()) error {
	return d.ifAlive(func() error {
		if err := d.Disk.write(); err != nil {
			return err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		change()
		return nil
	})
}
