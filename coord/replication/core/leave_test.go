package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeave_Primary_HandsOverAtOnce(t *testing.T) {
	eachLayout(t, func(t *testing.T, net *network) {
		primary := net.commit("first")
		primary.step(Leave{Deadline: net.now - primary.born + 5*time.Second})
		net.run(400 * time.Millisecond)
		successor := net.holds("first;")
		require.NotEqual(t, primary, successor)
		require.Equal(t, Committed, successor.outcome(successor.proposeText("second")))
	})
}

// TestLeave_EachRole_CompletesByAgreement waits until a view without it holds.
func TestLeave_EachRole_CompletesByAgreement(t *testing.T) {
	for _, role := range []Role{RolePrimary, RoleBackup, RoleWitness} {
		t.Run(fmt.Sprint(role), func(t *testing.T) {
			net := startedNetwork(t, 1, "a", "b", "c", "d")
			primary := net.commit("first")
			view := primary.core.View()
			member := primary
			switch role {
			case RoleBackup:
				member = net.node(view.Backups[0])
			case RoleWitness:
				for _, witness := range view.Witnesses {
					if rolesOf(view, witness.ID) == RoleWitness {
						member = net.node(witness)
					}
				}
			}
			member.step(Leave{Deadline: net.now - member.born + 10*time.Second})
			net.run(2 * time.Second)
			require.NotNil(t, member.left)
			require.True(t, member.left.Complete)
			successor := net.holds("first;")
			require.Zero(t, rolesOf(successor.core.View(), member.disk.id))
			require.Len(t, successor.core.View().Replicas(), 2)
			require.Len(t, successor.core.View().Witnesses, 3)
			member.stop()
			successor.stop()
			net.run(3 * time.Second)
			net.holds("first;")
		})
	}
}

// TestLeave_NoReplacement_KeepsRolesUntilDeadline keeps its role until the deadline.
func TestLeave_NoReplacement_KeepsRolesUntilDeadline(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	backup := net.node(primary.core.View().Backups[0])
	backup.step(Leave{Deadline: net.now - backup.born + 3*time.Second})
	net.run(2 * time.Second)
	require.Nil(t, backup.left)
	net.commit("second")
	net.run(2 * time.Second)
	require.NotNil(t, backup.left)
	require.False(t, backup.left.Complete)
	require.NotZero(t, backup.left.Roles&RoleWitness)
	require.Len(t, net.primary().core.View().Replicas(), 2)
}

// TestLeave_NoViewKnown_AsksPrimaryFirst: a view that names it may be on its way.
func TestLeave_NoViewKnown_AsksPrimaryFirst(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	net.commit("first")
	added := net.add("d")
	added.start()
	added.step(Leave{Deadline: 5 * time.Second})
	require.Nil(t, added.left)
	net.run(time.Second)
	require.NotNil(t, added.left)
	require.True(t, added.left.Complete)
	isolated := net.add("e")
	net.isolate(isolated)
	isolated.start()
	isolated.step(Leave{Deadline: time.Second})
	net.run(2 * time.Second)
	require.NotNil(t, isolated.left)
	require.False(t, isolated.left.Complete, "nobody agreed")
}
