package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneMemberAlone(t *testing.T) {
	w := newWorld(t, 0, "a")
	w.startAll()
	w.run(100 * time.Millisecond)
	w.commit("first")
	w.nodes[0].stop()
	w.nodes[0].start()
	w.run(time.Second)
	w.holds("first;")
}

func TestAMemberWithoutADiskOnlyRelays(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	relay := w.add("d")
	relay.relay = true
	relay.start()
	w.run(2 * time.Second)
	p := w.commit("first")
	primary, known := relay.core.Primary(w.now - relay.born)
	require.True(t, known)
	require.Equal(t, p.member(), primary)
	w.node(p.core.View().Backups[0]).stop()
	w.run(6 * time.Second)
	require.Zero(t, rolesOf(w.holds("first;").core.View(), relay.disk.id))
}

func TestASeedWithoutADiskIsNoWitness(t *testing.T) {
	w := newWorld(t, 1, "a", "b", "c", "d")
	w.nodes[0].relay = true
	w.startAll()
	w.run(6 * time.Second)
	p := w.commit("first")
	require.Len(t, p.core.View().Witnesses, 3)
	require.Zero(t, rolesOf(p.core.View(), w.nodes[0].disk.id))
}

// TestTwoListsOfSeedsMakeNoTwoFirstViews: two groups that share a member start with lists of their own.
func TestTwoListsOfSeedsMakeNoTwoFirstViews(t *testing.T) {
	lists := [][]string{{"m0", "m1", "m2"}, {"m0", "m1", "m2"}, {"m2", "m3", "m4"}, {"m2", "m3", "m4"}, {"m2", "m3", "m4"}}
	w := newWorld(t, 1, "a", "b", "c", "d", "e")
	for i, n := range w.nodes {
		n.seeds = lists[i]
	}
	w.startAll()
	w.run(20 * time.Second)
	p := w.commit("first")
	require.Equal(t, "m2", p.core.View().Witnesses[0].Address)
	for _, n := range w.nodes {
		require.Equal(t, p.core.View().Epoch, n.core.View().Epoch, "all follow the one view")
	}
}

func TestStoredStateIsChecked(t *testing.T) {
	w := newWorld(t, 1, "a", "b", "c")
	n := w.nodes[0]
	n.machine = &text{}
	first := Entry{Index: 1, Data: []byte("a")}
	second := Entry{Index: 2, Previous: first.Position().Digest, Data: []byte("b")}
	older := Snapshot{Position: Position{}}
	newer := Snapshot{Position: first.Position(), Data: []byte("a;")}
	_, err := New(n.config(), Stored{Snapshot: &newer, Entries: []Entry{second}, Appendable: true})
	require.NoError(t, err)
	_, err = New(n.config(), Stored{Snapshot: &older, Entries: []Entry{second}, Appendable: true})
	require.ErrorIs(t, err, ErrCorrupt, "an older snapshot than the log's")
	_, err = New(n.config(), Stored{Entries: []Entry{first}, Appendable: true})
	require.ErrorIs(t, err, ErrCorrupt)
}

// TestASeedIsReplacedWhileTheFirstViewIsMade loses the disk of each seed at each moment of the first start; another comes in its place, which was not made for the first start.
func TestASeedIsReplacedWhileTheFirstViewIsMade(t *testing.T) {
	for seed := range 3 {
		for at := time.Millisecond; at < 40*time.Millisecond; at += time.Millisecond {
			w := newWorld(t, 1, "a", "b", "c")
			w.startAll()
			w.run(at)
			w.nodes[seed].stop()
			w.nodes[seed].wipe()
			w.run(700 * time.Millisecond)
			w.nodes[seed].start()
			w.run(9 * time.Second)
			p := w.commit("first")
			require.Len(t, p.core.View().Witnesses, 3)
			require.NotZero(t, rolesOf(p.core.View(), w.nodes[seed].disk.id))
		}
	}
}
