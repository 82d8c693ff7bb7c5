package replication

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// What is promised of a member that was away, at 50 changes a second on a state of 300 KB.
const (
	maxTakeover     = 1250 * time.Millisecond // the longest answer time of a command while a replica is lost and another member is given the state
	maxSlowTakeover = 2 * time.Second         // the same over slow links
	maxTransfer     = 2500 * time.Millisecond // what a transfer of 1.2 MB over slow links takes besides the times it is disconnected
)

// absence is a way to be away.
type absence struct {
	name        string
	begin, stop func(f *fleet, i int)
}

var absences = []absence{
	{"killed", func(f *fleet, i int) { f.stop(i) }, func(f *fleet, i int) { f.start(i) }},
	{"cut off", func(f *fleet, i int) { f.network.setDisconnected(address(i), true) }, func(f *fleet, i int) { f.network.setDisconnected(address(i), false) }},
	{"frozen", (*fleet).pause, (*fleet).resume},
}

// TestMember_AfterOutage_CatchesUp keeps a member away for many changes. After its return the other replica is lost, so that it is needed: it is given what it missed while changes go on.
func TestMember_AfterOutage_CatchesUp(t *testing.T) {
	for _, role := range []string{"primary", "backup", "witness"} {
		for _, away := range absences {
			for _, missed := range []int{10, 100, 1000} {
				for _, rate := range []int{linkRate, slowLinkRate} {
					if rate == slowLinkRate && (missed != 100 || away.name != "killed") {
						continue // the same transfers again
					}
					t.Run(fmt.Sprint(role, " ", away.name, " ", missed, " ", rate>>20, " MiB a second"), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { requireCatchUp(t, role, away, missed, rate) })
					})
				}
			}
		}
	}
}

func requireCatchUp(t *testing.T, role string, away absence, missed, rate int) {
	wait := maxTakeover
	if rate == slowLinkRate {
		wait = maxSlowTakeover
	}
	f := newFleet(settingsCount, rate, "a", "b", "c")
	defer f.end()
	f.makeChanges(t, 2*settingsCount)
	primary, backup, witness := f.roles(t)
	member := map[string]int{"primary": primary, "backup": backup, "witness": witness}[role]
	away.begin(f, member)
	f.makeChanges(t, missed)
	t.Logf("longest answer while it is away %v", f.longest)
	require.Less(t, f.longest, wait, "while it is away")
	away.stop(f, member)
	f.makeChanges(t, 50) // it is in contact again
	leader, other, third := f.roles(t)
	require.Equal(t, member, third, "it has no valid state")

	f.watchChunks(member, nil)
	f.longest = 0
	lost := time.Now()
	f.stop(other)
	for memberIndex(f.members[leader].View().Replicas(), f.members[member].self.ID) < 0 {
		f.makeChange(t)
	}
	sent, _ := f.stateSent(member)
	t.Logf("rebuilt after %v, longest answer %v, bytes of state %d", time.Since(lost), f.longest, sent)
	require.Less(t, time.Since(lost), wait)
	f.makeChanges(t, 100)
	require.Less(t, f.longest, wait, "while it is rebuilt")
	if missed == 10 && role == "backup" {
		require.Less(t, sent, 80*changeBytes, "it is given the changes that it missed, not the complete state")
	}
	f.requireReplicasAgree(t)

	f.start(other)
	time.Sleep(time.Second)
	f.stop(leader)
	f.makeChanges(t, 10)
	require.Equal(t, member, f.newestPrimary(), "it leads, with all that was acknowledged")
	f.requireReplicasAgree(t)
}

// TestMember_SlowLink_CatchesUp loses the backup where the witness, to be given 300 KB, is reached at a low rate.
func TestMember_SlowLink_CatchesUp(t *testing.T) {
	for _, rate := range []int{512 << 10, 384 << 10, 128 << 10} {
		t.Run(fmt.Sprint(rate>>10, " KiB a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(settingsCount, rate, "a", "b", "c")
				defer f.end()
				f.makeChanges(t, 2*settingsCount)
				_, other, member := f.roles(t)
				size := len(f.settings[other].Snapshot())
				f.watchChunks(member, nil)
				lost := time.Now()
				f.stop(other)
				f.makeChange(t)
				sent, _ := f.stateSent(member)
				took := time.Since(lost)
				t.Logf("taken after %v, %d bytes sent for %d", took, sent, size)
				require.Less(t, took, maxSlowTakeover+time.Duration(size)*time.Second/time.Duration(rate))
				require.Less(t, sent, size+size/10, "what is on its way is not sent again")
			})
		})
	}
}

// TestStateTransfer_Interrupted_Resumes cuts the receiver off in the middle of parts, again and again. The state is so large that it has several parts.
func TestStateTransfer_Interrupted_Resumes(t *testing.T) {
	const rate = 2 << 20
	for _, cut := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond} { // less than a transfer waits for an answer, and more
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requireInterruptedTransferResumes(t, rate, cut, 4) })
		})
	}
}

func requireInterruptedTransferResumes(t *testing.T, rate int, cut time.Duration, cuts int) {
	const values = 4 * settingsCount // 1.2 MB
	f := newFleet(values, rate, "a", "b", "c")
	defer f.end()
	for range values {
		f.makeChange(t)
	}
	leader, other, member := f.roles(t)
	partSize := core.DefaultLimits().SnapshotChunkBytes
	size := len(f.settings[leader].Snapshot())
	left := cuts
	cutOffset := int64(-1)
	f.watchChunks(member, func(to string, part core.SnapshotChunk) {
		if to != address(member) || left == 0 || part.Offset == cutOffset || part.Offset == 0 {
			return
		}
		cutOffset = part.Offset
		left--
		halfway := time.Duration(partSize/2) * time.Second / time.Duration(rate)
		time.AfterFunc(halfway, func() { f.network.setDisconnected(to, true) })
		time.AfterFunc(halfway+cut, func() { f.network.setDisconnected(to, false) })
	})
	lost := time.Now()
	f.stop(other)
	f.makeChange(t)
	took := time.Since(lost)
	sent, received := f.stateSent(member)
	t.Logf("taken after %v, %d bytes of state sent for %d", took, sent, size)
	require.Zero(t, left, "it was cut that often")
	require.Less(t, took, time.Duration(cuts)*cut+maxTransfer)
	again := 1 + int(cut/core.DefaultTiming().ReplyTimeout) // parts sent again for each cut: the one that was lost, and the first with each new offer
	require.LessOrEqual(t, sent, size+cuts*again*partSize+partSize/16)
	require.True(t, slices.IsSorted(received), "what was received stays: %v", received)
	f.requireReplicasAgree(t)
}

// TestMember_ReceivesNoSnapshot_DelaysNothing has a member that is in contact and to which no state comes through, while the backup is lost again and again: the other member is taken in its place.
func TestMember_ReceivesNoSnapshot_DelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, linkRate, "a", "b", "c", "d")
		defer f.end()
		f.makeChanges(t, 10)
		leader, _, _ := f.roles(t)
		deaf := -1
		for i := range f.members {
			if memberIndex(f.members[leader].View().Replicas(), f.members[i].self.ID) < 0 {
				deaf = i
			}
		}
		f.network.setDrop(func(to string, message core.Message) bool {
			_, isPart := message.(core.SnapshotChunk)
			return f.watch(to, message) || isPart && to == address(deaf)
		})
		for range 8 {
			_, backup, _ := f.roles(t)
			require.NotEqual(t, deaf, backup)
			f.stop(backup)
			f.makeChanges(t, 100)
			f.start(backup)
			f.makeChanges(t, 150)
			f.requireReplicasAgree(t)
		}
		t.Logf("longest answer %v", f.longest)
		require.Less(t, f.longest, maxTakeover)
	})
}

// diskContent is a copy of a member's disk.
type diskContent struct {
	snapshot *core.Snapshot
	entries  []core.Entry
}

func (s *memoryStore) content() diskContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return diskContent{s.snapshot, slices.Clone(s.entries)}
}

func (s *memoryStore) restore(old diskContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.entries = old.snapshot, old.entries
}

// TestMember_OldStateOnDisk_DoesNotBecomePrimary puts a replica's older state back on its disk, under its newest register, and starts it with the witness alone. It leads only once the other replica gave it the state.
func TestMember_OldStateOnDisk_DoesNotBecomePrimary(t *testing.T) {
	for _, role := range []string{"primary", "backup"} {
		for _, changes := range []int{1, 10, 300, 1000} {
			t.Run(fmt.Sprint(role, " ", changes), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { oldStateDoesNotLead(t, role, changes) })
			})
		}
	}
}

// TestMember_NewestStateOnDisk_BecomesPrimary is the control of the test before: with its own content left as it is, the same member leads at once.
func TestMember_NewestStateOnDisk_BecomesPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		f.makeChanges(t, 20)
		f.switchPrimary(t)
		f.makeChanges(t, 300)
		f.switchPrimary(t)
		_, backup, witness := f.roles(t)
		for i := range f.members {
			f.stop(i)
		}
		f.start(backup)
		f.start(witness)
		f.makeChanges(t, 10)
		require.Equal(t, backup, f.newestPrimary())
		f.requireReplicasAgree(t)
	})
}

// switchPrimary loses the primary for a while: the backup leads then, and the witness is the backup.
func (f *fleet) switchPrimary(t *testing.T) {
	t.Helper()
	first := f.newestPrimary()
	f.stop(first)
	f.makeChanges(t, 1)
	f.start(first)
	time.Sleep(2 * time.Second)
	require.NotEqual(t, first, f.newestPrimary())
}

func oldStateDoesNotLead(t *testing.T, role string, changes int) {
	f := newFleet(settingsCount, 0, "a", "b", "c")
	defer f.end()
	f.makeChanges(t, 20)
	f.switchPrimary(t)
	f.makeChanges(t, 20)
	old := []diskContent{f.stores[0].content(), f.stores[1].content(), f.stores[2].content()}
	f.makeChanges(t, changes)
	f.switchPrimary(t) // the view's base is past the old state now
	primary, backup, witness := f.roles(t)
	member, other := primary, backup
	if role == "backup" {
		member, other = backup, primary
	}
	require.NotNil(t, old[member].snapshot)
	for i := range f.members {
		f.stop(i)
	}
	f.stores[member].restore(old[member])
	f.start(member)
	f.start(witness)
	for range 200 { // 10 s
		time.Sleep(50 * time.Millisecond)
		_, leads := f.members[member].PrimaryEpoch()
		require.False(t, leads, "it leads with change %d of %d", f.settings[member].lastChange(), f.lastChange)
		require.Negative(t, f.newestPrimary())
	}
	f.start(other)
	f.makeChanges(t, 10)
	require.Equal(t, other, f.newestPrimary())
	f.requireReplicasAgree(t)
	f.stop(witness) // so that the two are the replicas
	f.makeChanges(t, 10)
	f.requireReplicasAgree(t)
	f.start(witness)
	time.Sleep(2 * time.Second)
	f.stop(other)
	f.makeChanges(t, 10)
	require.Equal(t, member, f.newestPrimary(), "it has the state now")
	f.requireReplicasAgree(t)
}
