package store_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/cryptotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/replication/store/storetest"
)

var (
	outcomeLimit   = flag.Int("power.outcomes", 3000, "outcomes of a loss of power tried exhaustively; above it, so many random ones")
	recoveryLimit  = flag.Int("power.recovery", 3000, "the same for a loss of power in the incarnation after one")
	secondSnapshot = flag.Bool("power.snapshot", false, "save a snapshot too in the incarnation after a loss of power")
)

// script is an incarnation of a store with each kind of write, also onto what other writes left.
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
		return h.saveSnapshot(s, next, entriesAfter(next.Position, tail...))
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

// powerSearch cuts the power at every step of the script, and at every step of the incarnation after it, and checks the contents of each possible outcome.
type powerSearch struct {
	t        *testing.T
	mutation mutation // the zero value is none
	killed   bool     // the process is killed first and starts once more before the power goes
	random   *rand.Rand
	outcomes int // how many are tried at each cut, exhaustively or else at random
	recovery int // the same in the incarnation after a cut

	known map[string]bool // pairs of a disk and its required contents that were tried

	cuts, disks, recoveryCuts, recoveryDisks, incomplete, recoveryIncomplete int
}

func (p *powerSearch) files(disk *storetest.Disk) store.FileSystem {
	return p.mutation.files(disk)
}

// run gives the first broken promise.
func (p *powerSearch) run() error {
	for step := 1; ; step++ {
		cryptotest.SetGlobalRandom(p.t, 1) // so that the same disk gets the same identity
		disk := p.mutation.newDisk()
		disk.CutPowerAt(step)
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
		key := h.String() + outcome.Fingerprint()
		if p.known[key] {
			return true
		}
		p.known[key] = true
		p.disks++
		broken = p.recover(outcome, h)
		return broken == nil
	})
	if !complete {
		p.incomplete++
	}
	return broken
}

// recover goes on with what is left of a disk, cutting the power at every step of that too.
func (p *powerSearch) recover(left *storetest.Disk, h *history) error {
	for step := 1; ; step++ {
		disk := p.restored(left)
		disk.CutPowerAt(step)
		found := h.copy()
		err := p.secondIncarnation(found, p.files(disk))
		if broken := asBroken(err); broken != nil {
			return broken
		}
		p.recoveryCuts++
		var broken error
		complete := disk.Outcomes(p.recovery, p.random, func(outcome *storetest.Disk) bool {
			p.recoveryDisks++
			_, broken = found.copy().open(p.files(p.restored(outcome)))
			return broken == nil
		})
		if broken != nil {
			return errors.Wrapf(broken, "and cut again at step %d of the next incarnation", step)
		}
		if !complete {
			p.recoveryIncomplete++
		}
		if err == nil {
			return nil
		}
	}
}

// secondIncarnation starts on what a loss of power has left, and writes a little.
func (p *powerSearch) secondIncarnation(h *history, files store.FileSystem) error {
	s, err := h.open(files)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := h.saveRegister(s, core.Register{Promised: 100}); err != nil {
		return err
	}
	if err := h.append(s, "in the second incarnation"); err != nil {
		return err
	}
	if !*secondSnapshot {
		return nil
	}
	snapshot := h.snapshotNow(100)
	return h.saveSnapshot(s, snapshot, entriesAfter(snapshot.Position, "tail in the second incarnation"))
}

// restored gives a copy of a disk with the same mutation as a new one.
func (p *powerSearch) restored(disk *storetest.Disk) *storetest.Disk {
	again := disk.Copy()
	p.mutation.on(again)
	return again
}

func asBroken(err error) error {
	var broken *brokenPromiseError
	if errors.As(err, &broken) {
		return broken
	}
	return nil
}

func newPowerSearch(t *testing.T) *powerSearch {
	return &powerSearch{
		t:        t,
		known:    map[string]bool{},
		random:   rand.New(rand.NewPCG(1, 2)),
		outcomes: *outcomeLimit,
		recovery: *recoveryLimit,
	}
}

func (p *powerSearch) log() {
	p.t.Logf("%d cuts, %d different disks after them, %d of the cuts sampled; %d cuts of the incarnations after them, %d disks, %d of these cuts sampled",
		p.cuts, p.disks, p.incomplete, p.recoveryCuts, p.recoveryDisks, p.recoveryIncomplete)
}

func TestStore_PowerCutAtEveryStep_KeepsItsPromises(t *testing.T) {
	search := newPowerSearch(t)
	require.NoError(t, search.run())
	search.log()
}

func TestStore_KilledThenPowerCut_KeepsItsPromises(t *testing.T) {
	search := newPowerSearch(t)
	search.killed = true
	require.NoError(t, search.run())
	search.log()
}
