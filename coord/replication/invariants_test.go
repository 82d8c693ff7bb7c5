package replication

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/invariant"
	"shaletrestle/coord/replication/core"
)

// newPrimaryOf makes as much of a member as its invariants need: a primary of an epoch.
func newPrimaryOf(epoch core.Epoch) *Member {
	recorder := invariant.NewRecorder(slog.New(slog.DiscardHandler))
	m := &Member{self: core.Member{ID: 1}, config: Config{Invariants: recorder}}
	m.status.Store(&status{epoch: epoch, isPrimary: true})
	return m
}

// heartbeatOf is what a primary of an epoch sends.
func heartbeatOf(epoch core.Epoch, from core.MemberID) core.Event {
	envelope := core.Envelope{From: core.Member{ID: from}}
	return core.Received{Message: core.Heartbeat{Envelope: envelope, View: &core.View{Epoch: epoch}}}
}

func TestCheckReceived_SecondPrimaryOfAnEpoch_Violation(t *testing.T) {
	m := newPrimaryOf(3)
	for _, event := range []core.Event{heartbeatOf(2, 2), heartbeatOf(4, 2), heartbeatOf(3, 1), core.Tick{}} {
		m.checkReceived(event)
	}
	require.Empty(t, m.config.Invariants.Violations())
	m.checkReceived(heartbeatOf(3, 2))
	require.Equal(t, []invariant.Count{{Name: InvariantSinglePrimary, Violations: 1}}, m.config.Invariants.Violations())
}

func TestCheckView_OlderView_Violation(t *testing.T) {
	m := newPrimaryOf(3)
	older, newer := &core.View{Epoch: 3}, &core.View{Epoch: 4}
	m.checkView(nil, older)
	m.checkView(older, newer)
	m.checkView(newer, newer)
	require.Empty(t, m.config.Invariants.Violations())
	m.checkView(newer, older)
	require.Equal(t, []invariant.Count{{Name: InvariantViewOrder, Violations: 1}}, m.config.Invariants.Violations())
}
