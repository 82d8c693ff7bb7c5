package sim

import (
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/replication"
)

// Disk is a tally.Store in memory, with faults. What a method returned for is synced; a power loss takes nothing else away.
type Disk struct {
	mu    sync.Mutex
	id    uint64
	boot  bool
	reg   replication.Register
	held  replication.Held
	size  int
	full  bool
	slow  time.Duration
	stuck chan struct{}
}

// NewDisk makes an empty disk with a new identity.
func NewDisk(id uint64, boot bool) *Disk { return &Disk{id: id, boot: boot} }

// Fault sets what the disk does from now on: "ok", "full", "stall" or "slow".
func (d *Disk) Fault(how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stuck != nil {
		close(d.stuck)
		d.stuck = nil
	}
	d.full, d.slow = how == "full", 0
	switch how {
	case "stall":
		d.stuck = make(chan struct{})
	case "slow":
		d.slow = 150 * time.Millisecond
	}
}

func (d *Disk) write() error {
	d.mu.Lock()
	full, slow, stuck := d.full, d.slow, d.stuck
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

// Identity is tally.Store's.
func (d *Disk) Identity() (uint64, bool) { return d.id, d.boot }

// LoadRegister is tally.Store's.
func (d *Disk) LoadRegister() replication.Register {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reg
}

// SaveRegister is tally.Store's.
func (d *Disk) SaveRegister(r replication.Register) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	d.reg = r
	d.mu.Unlock()
	return nil
}

// Load is tally.Store's.
func (d *Disk) Load() replication.Held {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// Reset is tally.Store's.
func (d *Disk) Reset(h replication.Held) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	d.held, d.size = h, 0
	d.mu.Unlock()
	return nil
}

// Append is tally.Store's.
func (d *Disk) Append(e []byte) error {
	if err := d.write(); err != nil {
		return err
	}
	d.mu.Lock()
	d.held.Tail = append(append([][]byte{}, d.held.Tail...), e)
	d.size += len(e)
	d.mu.Unlock()
	return nil
}

// Size is tally.Store's.
func (d *Disk) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.size
}
