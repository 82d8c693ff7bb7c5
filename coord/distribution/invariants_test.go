package distribution

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/invariant"
)

// positionSink is a sink that is wherever a test puts it.
type positionSink struct {
	*Cursor
	at Position
}

// Position is where the test put it.
func (s *positionSink) Position() Position { return s.at }

func TestFollower_SinkGoesBack_Violation(t *testing.T) {
	recorder := invariant.NewRecorder(slog.New(slog.DiscardHandler))
	sink := &positionSink{Cursor: NewCursor(nil)}
	follower := NewFollower(FollowerOptions{Sink: sink, Invariants: recorder})
	for _, at := range []Position{{1, 5}, {1, 5}, {1, 9}, {2, 1}} {
		sink.at = at
		follower.checkOrder()
	}
	require.Empty(t, recorder.Violations())
	for _, at := range []Position{{1, 10}, {2, 0}} {
		sink.at = at
		follower.checkOrder()
	}
	sink.at = Position{2, 1}
	follower.checkOrder()
	require.Equal(t, []invariant.Count{{Name: InvariantUpdateOrder, Violations: 2}}, recorder.Violations())
}
