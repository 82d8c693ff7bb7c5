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
	takeoverWait     = 1250 * time.Millisecond // the longest answer time of an order while a copy is lost and another member is given the state
	slowTakeoverWait = 2 * time.Second         // the same over slow links
	resumeWait       = 2500 * time.Millisecond // what a transfer of 1.2 MB over slow links takes besides the times it is cut off
)

// absence is a way to be away.
type absence struct {
	name        string
	begin, stop func(f *fleet, i int)
}

var absences = []absence{
	{"killed", func(f *fleet, i int) { f.stop(i) }, func(f *fleet, i int) { f.start(i) }},
	{"cut off", func(f *fleet, i int) { f.h.setOff(address(i), true) }, func(f *fleet, i int) { f.h.setOff(address(i), false) }},
	{"frozen", (*fleet).freeze, (*fleet).thaw},
}

// TestAMemberThatWasAwayCatchesUp keeps a member away for many changes. After its return the other copy is lost, so that it is needed: it is given what it missed while changes go on.
func TestAMemberThatWasAwayCatchesUp(t *testing.T) {
	for _, role := range []string{"primary", "backup", "witness"} {
		for _, away := range absences {
			for _, missed := range []int{10, 100, 1000} {
				for _, rate := range []int{linkRate, slowLinkRate} {
					if rate == slowLinkRate && (missed != 100 || away.name != "killed") {
						continue // the same transfers again
					}
					t.Run(fmt.Sprint(role, " ", away.name, " ", missed, " ", rate>>20, " MiB a second"), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { catchesUp(t, role, away, missed, rate) })
					})
				}
			}
		}
	}
}

func catchesUp(t *testing.T, role string, away absence, missed, rate int) {
	wait := takeoverWait
	if rate == slowLinkRate {
		wait = slowTakeoverWait
	}
	f := newFleet(settingsCount, rate, "a", "b", "c")
	defer f.end()
	f.orders(t, 2*settingsCount)
	primary, backup, witness := f.roles(t)
	member := map[string]int{"primary": primary, "backup": backup, "witness": witness}[role]
	away.begin(f, member)
	f.orders(t, missed)
	t.Logf("longest answer while it is away %v", f.longest)
	require.Less(t, f.longest, wait, "while it is away")
	away.stop(f, member)
	f.orders(t, 50) // it is heard again
	leader, other, third := f.roles(t)
	require.Equal(t, member, third, "it holds no state that counts")

	f.watchParts(member, nil)
	f.longest = 0
	lost := time.Now()
	f.stop(other)
	for index(f.m[leader].View().Replicas(), f.m[member].self.ID) < 0 {
		f.order(t)
	}
	sent, _ := f.stateSent(member)
	t.Logf("rebuilt after %v, longest answer %v, bytes of state %d", time.Since(lost), f.longest, sent)
	require.Less(t, time.Since(lost), wait)
	f.orders(t, 100)
	require.Less(t, f.longest, wait, "while it is rebuilt")
	if missed == 10 && role == "backup" {
		require.Less(t, sent, 80*changeBytes, "it is given the changes that it missed, not the whole state")
	}
	f.copiesAgree(t)

	f.start(other)
	time.Sleep(time.Second)
	f.stop(leader)
	f.orders(t, 10)
	require.Equal(t, member, f.newest(), "it leads, with all that was acknowledged")
	f.copiesAgree(t)
}

// TestAMemberCatchesUpOverASlowLink loses the backup where the witness, to be given 300 KB, is reached at a low rate.
func TestAMemberCatchesUpOverASlowLink(t *testing.T) {
	for _, rate := range []int{512 << 10, 384 << 10, 128 << 10} {
		t.Run(fmt.Sprint(rate>>10, " KiB a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(settingsCount, rate, "a", "b", "c")
				defer f.end()
				f.orders(t, 2*settingsCount)
				_, other, member := f.roles(t)
				size := len(f.settings[other].Snapshot())
				f.watchParts(member, nil)
				lost := time.Now()
				f.stop(other)
				f.order(t)
				sent, _ := f.stateSent(member)
				took := time.Since(lost)
				t.Logf("taken after %v, %d bytes sent for %d", took, sent, size)
				require.Less(t, took, slowTakeoverWait+time.Duration(size)*time.Second/time.Duration(rate))
				require.Less(t, sent, size+size/10, "what is on its way is not sent again")
			})
		})
	}
}

// TestATransferThatBreaksOffGoesOn cuts the receiver off in the middle of parts, again and again. The state is so large that it has several parts.
func TestATransferThatBreaksOffGoesOn(t *testing.T) {
	const rate = 2 << 20
	for _, cut := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond} { // less than a transfer waits for an answer, and more
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { breaksOff(t, rate, cut, 4) })
		})
	}
}

func breaksOff(t *testing.T, rate int, cut time.Duration, cuts int) {
	const values = 4 * settingsCount // 1.2 MB
	f := newFleet(values, rate, "a", "b", "c")
	defer f.end()
	for range values {
		f.order(t)
	}
	leader, other, member := f.roles(t)
	partSize := core.DefaultLimits().SnapshotChunkBytes
	size := len(f.settings[leader].Snapshot())
	left := cuts
	cutOffset := int64(-1)
	f.watchParts(member, func(to string, part core.SnapshotChunk) {
		if to != address(member) || left == 0 || part.Offset == cutOffset || part.Offset == 0 {
			return
		}
		cutOffset = part.Offset
		left--
		halfway := time.Duration(partSize/2) * time.Second / time.Duration(rate)
		time.AfterFunc(halfway, func() { f.h.setOff(to, true) })
		time.AfterFunc(halfway+cut, func() { f.h.setOff(to, false) })
	})
	lost := time.Now()
	f.stop(other)
	f.order(t)
	took := time.Since(lost)
	sent, received := f.stateSent(member)
	t.Logf("taken after %v, %d bytes of state sent for %d", took, sent, size)
	require.Zero(t, left, "it was cut that often")
	require.Less(t, took, time.Duration(cuts)*cut+resumeWait)
	again := 1 + int(cut/core.DefaultTiming().ReplyTimeout) // parts sent again for each cut: the one that was lost, and the first with each new offer
	require.LessOrEqual(t, sent, size+cuts*again*partSize+partSize/16)
	require.True(t, slices.IsSorted(received), "what was received stays: %v", received)
	f.copiesAgree(t)
}

// TestAMemberThatTakesNoStateHoldsNothingUp has a member that is heard and to which no state comes through, while the backup is lost again and again: the other member is taken in its place.
func TestAMemberThatTakesNoStateHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, linkRate, "a", "b", "c", "d")
		defer f.end()
		f.orders(t, 10)
		leader, _, _ := f.roles(t)
		deaf := -1
		for i := range f.m {
			if index(f.m[leader].View().Replicas(), f.m[i].self.ID) < 0 {
				deaf = i
			}
		}
		f.h.setDrop(func(to string, message core.Message) bool {
			_, isPart := message.(core.SnapshotChunk)
			return f.watch(to, message) || isPart && to == address(deaf)
		})
		for range 8 {
			_, backup, _ := f.roles(t)
			require.NotEqual(t, deaf, backup)
			f.stop(backup)
			f.orders(t, 100)
			f.start(backup)
			f.orders(t, 150)
			f.copiesAgree(t)
		}
		t.Logf("longest answer %v", f.longest)
		require.Less(t, f.longest, takeoverWait)
	})
}

// content is what a member's disk held at a moment.
type content struct {
	snapshot *core.Snapshot
	entries  []core.Entry
}

func (m *memory) content() content {
	m.mu.Lock()
	defer m.mu.Unlock()
	return content{m.snapshot, slices.Clone(m.entries)}
}

func (m *memory) putBack(old content) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshot, m.entries = old.snapshot, old.entries
}

// TestAMemberWithOldStateDoesNotLead puts a copy's older state back on its disk, under its newest register, and starts it with the witness alone. It leads only once the other copy gave it the state.
func TestAMemberWithOldStateDoesNotLead(t *testing.T) {
	for _, role := range []string{"primary", "backup"} {
		for _, changes := range []int{1, 10, 300, 1000} {
			t.Run(fmt.Sprint(role, " ", changes), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { oldStateDoesNotLead(t, role, changes) })
			})
		}
	}
}

// TestAMemberWithTheNewestStateLeads is the control of the test before: with its own content left as it is, the same member leads at once.
func TestAMemberWithTheNewestStateLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(settingsCount, 0, "a", "b", "c")
		defer f.end()
		f.orders(t, 20)
		f.handOver(t)
		f.orders(t, 300)
		f.handOver(t)
		_, backup, witness := f.roles(t)
		for i := range f.m {
			f.stop(i)
		}
		f.start(backup)
		f.start(witness)
		f.orders(t, 10)
		require.Equal(t, backup, f.newest())
		f.copiesAgree(t)
	})
}

// handOver loses the primary for a while: the backup leads then, and the witness is the backup.
func (f *fleet) handOver(t *testing.T) {
	t.Helper()
	first := f.newest()
	f.stop(first)
	f.orders(t, 1)
	f.start(first)
	time.Sleep(2 * time.Second)
	require.NotEqual(t, first, f.newest())
}

func oldStateDoesNotLead(t *testing.T, role string, changes int) {
	f := newFleet(settingsCount, 0, "a", "b", "c")
	defer f.end()
	f.orders(t, 20)
	f.handOver(t)
	f.orders(t, 20)
	old := []content{f.st[0].content(), f.st[1].content(), f.st[2].content()}
	f.orders(t, changes)
	f.handOver(t) // the view's base is past the old state now
	primary, backup, witness := f.roles(t)
	member, other := primary, backup
	if role == "backup" {
		member, other = backup, primary
	}
	require.NotNil(t, old[member].snapshot)
	for i := range f.m {
		f.stop(i)
	}
	f.st[member].putBack(old[member])
	f.start(member)
	f.start(witness)
	for range 200 { // 10 s
		time.Sleep(50 * time.Millisecond)
		_, leads := f.m[member].PrimaryEpoch()
		require.False(t, leads, "it leads with change %d of %d", f.settings[member].lastChange(), f.change)
		require.Negative(t, f.newest())
	}
	f.start(other)
	f.orders(t, 10)
	require.Equal(t, other, f.newest())
	f.copiesAgree(t)
	f.stop(witness) // so that the two are the copies
	f.orders(t, 10)
	f.copiesAgree(t)
	f.start(witness)
	time.Sleep(2 * time.Second)
	f.stop(other)
	f.orders(t, 10)
	require.Equal(t, member, f.newest(), "it has the state now")
	f.copiesAgree(t)
}
