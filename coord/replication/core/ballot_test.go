package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// livesOfBallots lets a backup that is no witness propose, ends its life as its first accept goes out, lets it propose again, and tells which lives offered views under each ballot.
func livesOfBallots(t *testing.T, built mutation.Kind) map[Ballot]map[int]bool {
	w := newWorld(t, 1, "a", "b", "c")
	learner := w.add("d")
	learner.mutate = built
	w.startAll()
	w.run(2 * time.Second)
	w.drop = func(_ *node, m Message) bool {
		_, is := m.(SnapshotChunk)
		return is && m.Route().To != learner.disk.id
	}
	p := w.commit("first")
	w.node(p.core.View().Backups[0]).disk.full = true
	require.Equal(t, Committed, p.outcome(p.orderText("second")))
	require.Equal(t, RoleBackup, rolesOf(p.core.View(), learner.disk.id))
	for _, n := range w.nodes {
		n.disk.full = false
	}
	lives := map[Ballot]map[int]bool{}
	w.drop = func(from *node, m Message) bool {
		accept, is := m.(Accept)
		if !is || from != learner {
			return false
		}
		if len(lives) == 0 {
			w.at(0, func() { learner.stop(); learner.start() })
		}
		if lives[accept.Ballot] == nil {
			lives[accept.Ballot] = map[int]bool{}
		}
		lives[accept.Ballot][learner.life] = true
		return true
	}
	p.stop()
	w.run(6 * time.Second)
	require.Equal(t, 2, learner.life)
	return lives
}

// TestNoTwoLivesUseOneBallot: a witness could accept two views under it.
func TestNoTwoLivesUseOneBallot(t *testing.T) {
	used := func(built mutation.Kind) int {
		most := 0
		for _, lives := range livesOfBallots(t, built) {
			most = max(most, len(lives))
		}
		return most
	}
	require.Equal(t, 1, used(mutation.None))
	require.Equal(t, 2, used(mutation.SkipOwnPromise))
}
