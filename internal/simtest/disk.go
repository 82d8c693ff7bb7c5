package simtest

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/replication/core"
)

// Disk is a replication.Store in memory, with faults. What a method returned for is synced; a power loss takes nothing else away.
type Disk struct {
	mu        sync.Mutex
	id        uint64
	bootstrap bool
	seeds     []string // of the first start
	register  core.Register
	snapshot  *core.Snapshot
	entries   []core.Entry // after the snapshot
	counters  counter.Stored
	full      bool
	delay     time.Duration
	stalled   chan struct{}
}

// NewDisk makes an empty disk with a new identity.
func NewDisk(id uint64, boot bool) *Disk { return &Disk{id: id, bootstrap: boot} }

// BootstrapSeeds is replication.Store's.
func (d *Disk) BootstrapSeeds() []string { return d.seeds }

// Fault sets what the disk does from now on: "ok", "full", "stall" or "slow".
func (d *Disk) Fault(how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
	d.full, d.delay = how == "full", 0
	switch how {
	case "stall":
		d.stalled = make(chan struct{})
	case "slow":
		d.delay = 150 * time.Millisecond
	}
}

func (d *Disk) write() error {
	d.mu.Lock()
	full, slow, stuck := d.full, d.delay, d.stalled
	d.mu.Unlock()
	if stuck != nil {
		<-stuck
	}
	time.Sleep(2*time.Millisecond + slow)
	if full {
		return syscall.ENOSPC
	}
	return nil
}

// Identity is replication.Store's.
func (d *Disk) Identity() (uint64, bool) { return d.id, d.bootstrap }

// Load is replication.Store's.
func (d *Disk) Load() core.Stored {
	d.mu.Lock()
	defer d.mu.Unlock()
	return core.Stored{
		Register:   d.register,
		Snapshot:   d.snapshot,
		Entries:    slices.Clone(d.entries),
		Appendable: d.snapshot != nil,
	}
}

// SaveRegister is replication.Store's.
func (d *Disk) SaveRegister(r core.Register) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.register = r
	return nil
}

// SaveSnapshot is replication.Store's.
func (d *Disk) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = &s
	d.entries = slices.Clone(tail)
	return nil
}

// Append is replication.Store's.
func (d *Disk) Append(e core.Entry) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return nil
}
