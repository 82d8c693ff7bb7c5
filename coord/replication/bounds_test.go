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

// usage is the memory and disk space of a member.
type usage struct {
	recentBytes int // of entries in memory
	tailBytes   int // of entries on disk and not applied: a member that is no replica since its restart has its complete log there
	commands    int // that wait in the core
	calls       int // that wait in the driver
	jobs        int // of the disk
	logBytes    int // of entries in the store
}

// usageOf measures a member. The core tells nobody of its lists, so they are looked at by reflection.
func (f *fleet) usageOf(i int) usage {
	m := f.members[i]
	m.mu.Lock()
	inside := reflect.ValueOf(m.core).Elem()
	state := inside.FieldByName("state")
	measured := usage{
		recentBytes: entryBytes(state.FieldByName("cachedEntries")),
		tailBytes:   entryBytes(state.FieldByName("tail")),
		commands:    inside.FieldByName("commands").Len(),
	}
	m.mu.Unlock()
	m.calls.mu.Lock()
	measured.calls = len(m.calls.pending)
	m.calls.mu.Unlock()
	m.disk.mu.Lock()
	measured.jobs = len(m.disk.jobs)
	m.disk.mu.Unlock()
	for _, entry := range f.stores[i].content().entries {
		measured.logBytes += len(entry.Data)
	}
	return measured
}

func entryBytes(entries reflect.Value) (bytes int) {
	for i := range entries.Len() {
		bytes += entries.Index(i).FieldByName("Data").Len()
	}
	return bytes
}

// TestMember_ManyChanges_MemoryAndDiskBounded makes 10,000 changes, while the backup is away now and then.
func TestMember_ManyChanges_MemoryAndDiskBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		limits := core.DefaultLimits()
		var peak usage
		for f.lastChange < 10_000 {
			f.makeChanges(t, 125)
			for i := range f.members {
				if f.contexts[i].Err() != nil {
					continue
				}
				k := f.usageOf(i)
				peak.recentBytes = max(peak.recentBytes, k.recentBytes)
				peak.tailBytes = max(peak.tailBytes, k.tailBytes)
				peak.logBytes = max(peak.logBytes, k.logBytes)
				peak.calls = max(peak.calls, k.calls)
				peak.jobs = max(peak.jobs, k.jobs)
			}
			if f.lastChange%1000 == 0 {
				_, backup, _ := f.roles(t)
				f.stop(backup)
				f.makeChanges(t, 25)
				f.start(backup)
				f.makeChanges(t, 100)
			}
		}
		t.Logf("peak usage: %+v; longest answer %v", peak, f.longest)
		require.LessOrEqual(t, peak.recentBytes, limits.EntryCacheBytes)
		require.LessOrEqual(t, peak.logBytes, limits.LogBytes+2*changeBytes)
		require.LessOrEqual(t, peak.tailBytes, limits.LogBytes+2*changeBytes)
		require.Zero(t, peak.calls)
		require.LessOrEqual(t, peak.jobs, 1)
		require.Less(t, f.longest, maxTakeover)
		f.requireReplicasAgree(t)
	})
}

// TestMember_DiskStalled_PendingCommandsBounded sends many commands at once to a primary whose disk is stalled: as many as Limits.MaxPending wait, the others are rejected at once, and none is pending after its deadline.
func TestMember_DiskStalled_PendingCommandsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		f.makeChanges(t, 10)
		primary := f.newestPrimary()
		resume := f.stores[primary].stall()
		const sent = 500
		var all sync.WaitGroup
		for range sent {
			all.Go(func() {
				_ = f.members[primary].Propose(time.Now().Add(proposeTimeout), func() ([]byte, error) { return change(f.settings[primary].lastChange() + 1), nil })
			})
		}
		time.Sleep(10 * time.Millisecond)
		waiting := f.usageOf(primary)
		limit := core.DefaultLimits().MaxPending
		require.LessOrEqual(t, waiting.commands, limit)
		require.LessOrEqual(t, waiting.calls, limit+1, "the one that is written, and those that wait")
		all.Wait()
		resume()
		time.Sleep(3 * time.Second)
		after := f.usageOf(primary)
		require.Zero(t, after.commands)
		require.Zero(t, after.calls)
		f.lastChange = f.settings[f.newestPrimary()].lastChange()
		f.makeChanges(t, 10)
		f.requireReplicasAgree(t)
	})
}
