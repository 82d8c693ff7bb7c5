package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestALeavingPrimaryIsFollowedAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, w *world) {
		p := w.commit("first")
		p.step(Leave{Deadline: w.now - p.born + 5*time.Second})
		w.run(400 * time.Millisecond)
		q := w.holds("first;")
		require.NotEqual(t, p, q)
		require.Equal(t, Committed, q.outcome(q.orderText("second")))
	})
}

// TestAMemberLeavesByAgreement waits until a view without it holds.
func TestAMemberLeavesByAgreement(t *testing.T) {
	for _, role := range []Role{RolePrimary, RoleBackup, RoleWitness} {
		t.Run(fmt.Sprint(role), func(t *testing.T) {
			w := startedWorld(t, 1, "a", "b", "c", "d")
			p := w.commit("first")
			view := p.core.View()
			member := p
			switch role {
			case RoleBackup:
				member = w.node(view.Backups[0])
			case RoleWitness:
				for _, witness := range view.Witnesses {
					if rolesOf(view, witness.ID) == RoleWitness {
						member = w.node(witness)
					}
				}
			}
			member.step(Leave{Deadline: w.now - member.born + 10*time.Second})
			w.run(2 * time.Second)
			require.NotNil(t, member.left)
			require.True(t, member.left.Complete)
			q := w.holds("first;")
			require.Zero(t, rolesOf(q.core.View(), member.disk.id))
			require.Len(t, q.core.View().Replicas(), 2)
			require.Len(t, q.core.View().Witnesses, 3)
			member.stop()
			q.stop()
			w.run(3 * time.Second)
			w.holds("first;")
		})
	}
}

// TestNobodyLeavesWhoCannotBeReplaced keeps its role until the deadline.
func TestNobodyLeavesWhoCannotBeReplaced(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	backup := w.node(p.core.View().Backups[0])
	backup.step(Leave{Deadline: w.now - backup.born + 3*time.Second})
	w.run(2 * time.Second)
	require.Nil(t, backup.left)
	w.commit("second")
	w.run(2 * time.Second)
	require.NotNil(t, backup.left)
	require.False(t, backup.left.Complete)
	require.NotZero(t, backup.left.Roles&RoleWitness)
	require.Len(t, w.primary().core.View().Replicas(), 2)
}

// TestAMemberThatKnowsNoViewAsksBeforeItLeaves: a view that names it may be on its way.
func TestAMemberThatKnowsNoViewAsksBeforeItLeaves(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	w.commit("first")
	added := w.add("d")
	added.start()
	added.step(Leave{Deadline: 5 * time.Second})
	require.Nil(t, added.left)
	w.run(time.Second)
	require.NotNil(t, added.left)
	require.True(t, added.left.Complete)
	alone := w.add("e")
	w.isolate(alone, true)
	alone.start()
	alone.step(Leave{Deadline: time.Second})
	w.run(2 * time.Second)
	require.NotNil(t, alone.left)
	require.False(t, alone.left.Complete, "nobody agreed")
}
