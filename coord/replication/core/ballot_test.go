package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// incarnationsOfBallots lets a backup that is no witness propose, restarts it as its first accept goes out, lets it propose again, and gives the incarnations that offered views under each ballot.
func incarnationsOfBallots(t *testing.T) map[Ballot]map[int]bool {
	net := newNetwork(t, 1, "a", "b", "c")
	learner := net.add("d")
	net.startAll()
	net.run(2 * time.Second)
	net.drop = func(_ *node, m Message) bool {
		_, is := m.(SnapshotChunk)
		return is && m.Route().To != learner.disk.id
	}
	primary := net.commit("first")
	net.node(primary.core.View().Backups[0]).disk.full = true
	require.Equal(t, Committed, primary.outcome(primary.proposeText("second")))
	require.Equal(t, RoleBackup, rolesOf(primary.core.View(), learner.disk.id))
	for _, node := range net.nodes {
		node.disk.full = false
	}
	incarnations := map[Ballot]map[int]bool{}
	net.drop = func(from *node, m Message) bool {
		accept, is := m.(Accept)
		if !is || from != learner {
			return false
		}
		if len(incarnations) == 0 {
			net.at(0, func() { learner.stop(); learner.start() })
		}
		if incarnations[accept.Ballot] == nil {
			incarnations[accept.Ballot] = map[int]bool{}
		}
		incarnations[accept.Ballot][learner.incarnation] = true
		return true
	}
	primary.stop()
	net.run(6 * time.Second)
	require.Equal(t, 2, learner.incarnation)
	return incarnations
}

// TestBallot_Restarted_IsNotReused: under one ballot of two incarnations a witness could accept two views.
func TestBallot_Restarted_IsNotReused(t *testing.T) {
	for ballot, incarnations := range incarnationsOfBallots(t) {
		require.Len(t, incarnations, 1, "incarnations that used ballot %x", ballot)
	}
}
