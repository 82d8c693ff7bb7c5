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

var faultDisks = flag.Int("faults.disks", 1500, "random disks played, each with some incarnations")

const (
	incarnationsPerDisk = 6
	maxWrites           = 12   // of an incarnation
	maxStepsToCut       = 120  // of the file system, until power is cut
	failureProbability  = 0.25 // of the steps, in an incarnation with a failing disk
)

var errFailing = errors.New("input/output error")

// faultRun plays the incarnations of one disk with random writes. Each incarnation has a healthy, failing or full disk, and ends by a kill or a loss of power at any step.
type faultRun struct {
	random     *rand.Rand
	disk       *storetest.Disk
	history    *history
	lastNumber int
}

// searchFaults plays disks with seeds 0, 1, ... and returns the first broken promise.
func searchFaults(disks int) error {
	for seed := range disks {
		run := faultRun{
			random:  rand.New(rand.NewPCG(uint64(seed), 0)),
			disk:    storetest.NewDisk(),
			history: newHistory(),
		}
		for number := range incarnationsPerDisk {
			if err := run.incarnation(); err != nil {
				return errors.Wrapf(err, "seed %d, incarnation %d", seed, number)
			}
		}
	}
	return nil
}

// incarnation plays one incarnation and returns a broken promise, if any.
func (r *faultRun) incarnation() error {
	r.disk.CutPowerAt(1 + r.random.IntN(maxStepsToCut))
	r.setFault()
	r.history.diskFails = r.disk.Fail != nil
	err := r.write()
	if broken := asBroken(err); broken != nil {
		return broken
	}
	r.stop()
	return nil
}

func (r *faultRun) setFault() {
	switch r.random.IntN(4) {
	case 0:
		r.disk.Fail = func(storetest.Operation) error {
			if r.random.Float64() < failureProbability {
				return errFailing
			}
			return nil
		}
	case 1:
		r.disk.Fail = fullDisk
	default:
		r.disk.Fail = nil
	}
}

// fullDisk fails each step that needs room.
func fullDisk(operation storetest.Operation) error {
	switch operation.Kind {
	case storetest.Mkdir, storetest.Create, storetest.Write:
		return storetest.ErrFull
	}
	return nil
}

// write opens the store and writes to it until the power is gone or the incarnation is over.
func (r *faultRun) write() error {
	s, err := r.history.open(r.disk)
	if err != nil {
		return err
	}
	defer s.Close()
	for range r.random.IntN(maxWrites) {
		err := r.writeOnce(s)
		if errors.Is(err, storetest.ErrPowerOff) {
			return nil
		}
		if r.random.IntN(6) == 0 {
			r.disk.Fail = nil
		}
	}
	return nil
}

func (r *faultRun) writeOnce(s *store.Store) error {
	r.lastNumber++
	switch r.random.IntN(4) {
	case 0:
		return r.history.saveRegister(s, core.Register{Promised: core.Ballot(r.lastNumber)})
	case 1:
		snapshot := r.history.snapshotNow(r.lastNumber)
		tail := entriesAfter(snapshot.Position, []string{"a", "b"}[:r.random.IntN(3)]...)
		return r.history.saveSnapshot(s, snapshot, tail)
	}
	return r.history.append(s, string(rune('a'+r.random.IntN(26))))
}

// stop kills the process or turns the power off.
func (r *faultRun) stop() {
	choose := storetest.Random(r.random)
	switch r.random.IntN(4) {
	case 0:
		choose = storetest.AllLost
	case 1:
		r.disk.Restart()
		return
	}
	r.disk = r.disk.AfterPowerLoss(choose)
}

func TestStore_RandomFaults_KeepsItsPromises(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	require.NoError(t, searchFaults(*faultDisks))
	t.Logf("%d disks with %d incarnations each", *faultDisks, incarnationsPerDisk)
}
