package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// livesOfBallots lets a backup that is no witness propose, ends its life as its first accept goes out, lets it propose again, and tells which lives offered views under each ballot.
func incarnationsOfBallots(t *testing.T, built mutation.Kind) map[Ballot]map[int]bool {
	net := newNetwork(t, 1, "a", "b", "c")
	learner := net.add("d")
	learner.mutate = built
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

// TestBallot_Restarted_IsNotReused: a witness could accept two views under it.
func TestBallot_Restarted_IsNotReused(t *testing.T) {
	used := func(built mutation.Kind) int {
		highest := 0
		for _, incarnations := range incarnationsOfBallots(t, built) {
			highest = max(highest, len(incarnations))
		}
		return highest
	}
	require.Equal(t, 1, used(mutation.None))
	require.Equal(t, 2, used(mutation.SkipOwnPromise))
}
