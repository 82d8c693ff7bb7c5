package replication

import (
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// kept is what a member holds.
type kept struct {
	recentBytes int // of entries in memory
	tailBytes   int // of entries on disk and not applied: a member that is no copy since its restart has its whole log there
	orders      int // that wait in the core
	calls       int // that wait in the driver
	jobs        int // of the disk
	logBytes    int // of entries in the store
}

// keptBy measures a member. The core tells nobody of its lists, so they are looked at by reflection.
func (f *fleet) keptBy(i int) kept {
	m := f.m[i]
	m.mu.Lock()
	inside := reflect.ValueOf(m.core).Elem()
	state := inside.FieldByName("state")
	k := kept{
		recentBytes: entryBytes(state.FieldByName("cachedEntries")),
		tailBytes:   entryBytes(state.FieldByName("tail")),
		orders:      inside.FieldByName("commands").Len(),
	}
	m.mu.Unlock()
	m.calls.mu.Lock()
	k.calls = len(m.calls.pending)
	m.calls.mu.Unlock()
	m.disk.mu.Lock()
	k.jobs = len(m.disk.jobs)
	m.disk.mu.Unlock()
	for _, entry := range f.st[i].content().entries {
		k.logBytes += len(entry.Data)
	}
	return k
}

func entryBytes(entries reflect.Value) (bytes int) {
	for i := range entries.Len() {
		bytes += entries.Index(i).FieldByName("Data").Len()
	}
	return bytes
}

// TestWhatIsKeptStaysBounded makes 10,000 changes, while the backup is away now and then.
func TestWhatIsKeptStaysBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		limits := core.DefaultLimits()
		var most kept
		for f.change < 10_000 {
			f.orders(t, 125)
			for i := range f.m {
				if f.ctx[i].Err() != nil {
					continue
				}
				k := f.keptBy(i)
				most.recentBytes = max(most.recentBytes, k.recentBytes)
				most.tailBytes = max(most.tailBytes, k.tailBytes)
				most.logBytes = max(most.logBytes, k.logBytes)
				most.calls = max(most.calls, k.calls)
				most.jobs = max(most.jobs, k.jobs)
			}
			if f.change%1000 == 0 {
				_, backup, _ := f.roles(t)
				f.stop(backup)
				f.orders(t, 25)
				f.start(backup)
				f.orders(t, 100)
			}
		}
		t.Logf("most that was kept: %+v; longest answer %v", most, f.longest)
		require.LessOrEqual(t, most.recentBytes, limits.EntryCacheBytes)
		require.LessOrEqual(t, most.logBytes, limits.LogBytes+2*changeBytes)
		require.LessOrEqual(t, most.tailBytes, limits.LogBytes+2*changeBytes)
		require.Zero(t, most.calls)
		require.LessOrEqual(t, most.jobs, 1)
		require.Less(t, f.longest, takeoverWait)
		f.copiesAgree(t)
	})
}

// TestWaitingOrdersAreBounded sends many orders at once to a primary whose disk stands still: so many wait, the others are told at once, and none is left when their time is over.
func TestWaitingOrdersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		f.orders(t, 10)
		p := f.newest()
		resume := f.st[p].stall()
		const sent = 500
		var all sync.WaitGroup
		for range sent {
			all.Go(func() {
				_ = f.m[p].Propose(time.Now().Add(orderWait), func() ([]byte, error) { return change(f.settings[p].lastChange() + 1), nil })
			})
		}
		time.Sleep(10 * time.Millisecond)
		waiting := f.keptBy(p)
		limit := core.DefaultLimits().MaxPending
		require.LessOrEqual(t, waiting.orders, limit)
		require.LessOrEqual(t, waiting.calls, limit+1, "the one that is written, and those that wait")
		all.Wait()
		resume()
		time.Sleep(3 * time.Second)
		after := f.keptBy(p)
		require.Zero(t, after.orders)
		require.Zero(t, after.calls)
		f.change = f.settings[f.newest()].lastChange()
		f.orders(t, 10)
		f.copiesAgree(t)
	})
}
