package store_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
)

var (
	outcomeLimit  = flag.Int("power.outcomes", 3000, "outcomes of a loss of power tried exhaustively; above it, so many random ones")
	recoveryLimit = flag.Int("power.recovery", 60, "the same for a loss of power during the start after one")
)

// script is a life of a store with each kind of write, also onto what other writes left.
func script(h *history, disk store.FileSystem) error {
	s, err := h.open(disk)
	if err != nil {
		return err
	}
	defer s.Close()
	register := func(number int) error {
		return h.saveRegister(s, core.Register{Promised: core.Ballot(number)})
	}
	snapshot := func(number int, tail ...string) error {
		next := h.snapshotNow(number)
		return h.saveSnapshot(s, next, follow(next.Position, tail...))
	}
	writes := []func() error{
		func() error { return register(1) },
		func() error { return snapshot(1, "in the first tail") },
		func() error { return h.append(s, "one") },
		func() error { return h.append(s, "two") },
		func() error { return register(2) },
		func() error { return snapshot(2) },
		func() error { return h.append(s, "three") },
		func() error { return register(3) },
		func() error { return snapshot(3, "four", "five") },
		func() error { return h.append(s, "six") },
	}
	for _, write := range writes {
		if err := write(); err != nil {
			return err
		}
	}
	return nil
}

// powerSearch cuts the power at every step of the script, and at every step of the start after it, and checks what each possible outcome holds.
type powerSearch struct {
	newDisk  func() *storetest.Disk
	wrap     func(*storetest.Disk) store.FileSystem // nil: as it is
	killed   bool                                   // the process is killed first and starts once more before the power goes
	random   *rand.Rand
	outcomes int // how many are tried at each cut, exhaustively or else at random
	recovery int // the same in the start after a cut

	cuts, disks, recoveryCuts, recoveryDisks, incomplete int
}

func (p *powerSearch) files(disk *storetest.Disk) store.FileSystem {
	if p.wrap == nil {
		return disk
	}
	return p.wrap(disk)
}

// run gives the first broken promise.
func (p *powerSearch) run() error {
	for step := 1; ; step++ {
		disk := p.newDisk()
		disk.CutAt(step)
		h := newHistory()
		err := script(h, p.files(disk))
		if broken := asBroken(err); broken != nil {
			return broken
		}
		if err := p.afterCut(disk, h); err != nil {
			return errors.Wrapf(err, "power cut at step %d", step)
		}
		p.cuts++
		if err == nil {
			return nil
		}
	}
}

// afterCut tries what may be left of a disk.
func (p *powerSearch) afterCut(disk *storetest.Disk, h *history) error {
	if p.killed {
		disk.Restart()
		s, err := h.open(p.files(disk))
		if err != nil {
			return err
		}
		s.Close()
	}
	var broken error
	complete := disk.Outcomes(p.outcomes, p.random, func(outcome *storetest.Disk) bool {
		p.disks++
		broken = p.recover(outcome, h)
		return broken == nil
	})
	if !complete {
		p.incomplete++
	}
	return broken
}

// recover opens a disk, cutting the power at every step of that too.
func (p *powerSearch) recover(left *storetest.Disk, h *history) error {
	for step := 1; ; step++ {
		disk := p.restored(left)
		disk.CutAt(step)
		found := h.copy()
		s, err := found.open(p.files(disk))
		if broken := asBroken(err); broken != nil {
			return broken
		}
		if err == nil {
			s.Close()
		}
		// What a completed start has found must be found again; else what could have been found before.
		p.recoveryCuts++
		var broken error
		disk.Outcomes(p.recovery, p.random, func(outcome *storetest.Disk) bool {
			p.recoveryDisks++
			_, broken = found.copy().open(p.files(p.restored(outcome)))
			return broken == nil
		})
		if broken != nil {
			return errors.Wrapf(broken, "and cut again at step %d of the start", step)
		}
		if err == nil {
			return nil
		}
	}
}

// restored gives a copy of a disk with the same mutation as a new one.
func (p *powerSearch) restored(disk *storetest.Disk) *storetest.Disk {
	again := disk.Copy()
	again.Skip = p.newDisk().Skip
	return again
}

func asBroken(err error) error {
	var broken *brokenPromise
	if errors.As(err, &broken) {
		return broken
	}
	return nil
}

func newPowerSearch() *powerSearch {
	return &powerSearch{
		newDisk:  storetest.NewDisk,
		random:   rand.New(rand.NewPCG(1, 2)),
		outcomes: *outcomeLimit,
		recovery: *recoveryLimit,
	}
}

func (p *powerSearch) log(t *testing.T) {
	t.Logf("%d cuts, %d different disks after them, %d of the cuts sampled; %d cuts of the starts after them, %d disks",
		p.cuts, p.disks, p.incomplete, p.recoveryCuts, p.recoveryDisks)
}

func TestPowerCutAtEveryStep(t *testing.T) {
	search := newPowerSearch()
	require.NoError(t, search.run())
	search.log(t)
}

func TestKilledAtEveryStepThenPowerCut(t *testing.T) {
	search := newPowerSearch()
	search.killed = true
	require.NoError(t, search.run())
	search.log(t)
}
