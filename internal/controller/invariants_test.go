package controller

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/invariant"
	"shaletrestle/internal/state"
)

// newCheckedController makes as much of a controller as its invariants need, with a configuration of revision 5.
func newCheckedController(t *testing.T) *Controller {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	c := &Controller{log: log, replicated: newReplicatedStore(), invariants: newInvariants(log)}
	put := state.NewPutConfig(0, []byte(`{"revision":5}`))
	require.NoError(t, c.replicated.Update(state.EncodeEvent(put)))
	return c
}

func TestCheckRead_OlderThanAnswered_Violation(t *testing.T) {
	c := newCheckedController(t)
	c.checkRead(c.replicated.View(), c.answered.newest.Load())
	require.Equal(t, int64(5), c.answered.newest.Load())
	c.checkRead(c.replicated.View(), c.answered.newest.Load())
	require.Empty(t, c.invariants.Violations())
	c.checkRead(state.EmptyView(), 0)
	require.Empty(t, c.invariants.Violations(), "nothing had been answered when the read began")
	c.checkRead(state.EmptyView(), c.answered.newest.Load())
	require.Equal(t, []invariant.Count{{Name: invariantReadOrder, Violations: 1}}, c.invariants.Violations())
}

func TestCheckAcknowledged_NotInState_Violation(t *testing.T) {
	c := newCheckedController(t)
	c.checkAcknowledged(state.NewPutConfig(4, nil))
	c.checkAcknowledged(state.EvacuateZone{Zone: "a"})
	require.Empty(t, c.invariants.Violations())
	require.Equal(t, int64(5), c.answered.newest.Load())
	c.checkAcknowledged(state.NewPutConfig(5, nil))
	require.Equal(t, []invariant.Count{{Name: invariantAcknowledgedVisible, Violations: 1}}, c.invariants.Violations())
}
