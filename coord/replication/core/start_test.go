package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStart_SingleMember_RestoresItsState(t *testing.T) {
	net := newNetwork(t, 0, "a")
	net.startAll()
	net.run(100 * time.Millisecond)
	net.commit("first")
	net.nodes[0].stop()
	net.nodes[0].start()
	net.run(time.Second)
	net.holds("first;")
}

func TestRelay_Running_HoldsNoRole(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	relay := net.add("d")
	relay.relay = true
	relay.start()
	net.run(2 * time.Second)
	primary := net.commit("first")
	followed, known := relay.core.Primary(net.now - relay.born)
	require.True(t, known)
	require.Equal(t, primary.member(), followed)
	net.node(primary.core.View().Backups[0]).stop()
	net.run(6 * time.Second)
	require.Zero(t, rolesOf(net.holds("first;").core.View(), relay.disk.id))
}

func TestBootstrap_SeedIsRelay_IsNoWitness(t *testing.T) {
	net := newNetwork(t, 1, "a", "b", "c", "d")
	net.nodes[0].relay = true
	net.startAll()
	net.run(6 * time.Second)
	primary := net.commit("first")
	require.Len(t, primary.core.View().Witnesses, 3)
	require.Zero(t, rolesOf(primary.core.View(), net.nodes[0].disk.id))
}

// TestBootstrap_OverlappingSeedLists_MakeOneFirstView: two groups that share a member start with lists of their own.
func TestBootstrap_OverlappingSeedLists_MakeOneFirstView(t *testing.T) {
	lists := [][]string{{"m0", "m1", "m2"}, {"m0", "m1", "m2"}, {"m2", "m3", "m4"}, {"m2", "m3", "m4"}, {"m2", "m3", "m4"}}
	net := newNetwork(t, 1, "a", "b", "c", "d", "e")
	for i, node := range net.nodes {
		node.seeds = lists[i]
	}
	net.startAll()
	net.run(20 * time.Second)
	primary := net.commit("first")
	require.Equal(t, "m2", primary.core.View().Witnesses[0].Address)
	for _, node := range net.nodes {
		require.Equal(t, primary.core.View().Epoch, node.core.View().Epoch, "all follow the one view")
	}
}

func TestNew_CorruptStoredState_ReturnsErrCorrupt(t *testing.T) {
	net := newNetwork(t, 1, "a", "b", "c")
	node := net.nodes[0]
	node.machine = &text{}
	first := Entry{Index: 1, Data: []byte("a")}
	second := Entry{Index: 2, Previous: first.Position().Digest, Data: []byte("b")}
	older := Snapshot{Position: Position{}}
	newer := Snapshot{Position: first.Position(), Data: []byte("a;")}
	_, err := New(node.config(), Stored{Snapshot: &newer, Entries: []Entry{second}, Appendable: true})
	require.NoError(t, err)
	_, err = New(node.config(), Stored{Snapshot: &older, Entries: []Entry{second}, Appendable: true})
	require.ErrorIs(t, err, ErrCorrupt, "an older snapshot than the log's")
	_, err = New(node.config(), Stored{Entries: []Entry{first}, Appendable: true})
	require.ErrorIs(t, err, ErrCorrupt)
}

// TestBootstrap_SeedReplaced_MakesOneFirstView loses the disk of each seed at each moment of the first start; another comes in its place, which was not made for the first start.
func TestBootstrap_SeedReplaced_MakesOneFirstView(t *testing.T) {
	for seed := range 3 {
		for at := time.Millisecond; at < 40*time.Millisecond; at += time.Millisecond {
			net := newNetwork(t, 1, "a", "b", "c")
			net.startAll()
			net.run(at)
			net.nodes[seed].stop()
			net.nodes[seed].wipe()
			net.run(700 * time.Millisecond)
			net.nodes[seed].start()
			net.run(9 * time.Second)
			primary := net.commit("first")
			require.Len(t, primary.core.View().Witnesses, 3)
			require.NotZero(t, rolesOf(primary.core.View(), net.nodes[seed].disk.id))
		}
	}
}
