package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var states = []State{NotSent, PartlySent, Sent, NotExecuted, Answered}

func TestState_AllPairs_OnlyGoForward(t *testing.T) {
	type transition struct{ from, to State }
	allowed := map[transition]bool{
		{NotSent, PartlySent}: true, {NotSent, Sent}: true, {PartlySent, Sent}: true, {Sent, NotExecuted}: true, {Sent, Answered}: true,
	}
	for _, from := range states {
		for _, to := range states {
			require.Equal(t, allowed[transition{from, to}], to.follows(from), "%s to %s", from, to)
		}
	}
	require.Equal(t, "unknown", State(len(states)).String())
}

// forAllSequences plays all sequences of so many steps, to a state or a new send. The reference counts the sends.
func forAllSequences(left int, history History, reference int, check func(History, int)) {
	check(history, reference)
	if left == 0 {
		return
	}
	for _, to := range states {
		next, sum := history, reference
		next.Advance(to)
		if history.current == NotSent && next.current != NotSent {
			sum++
		}
		forAllSequences(left-1, next, sum, check)
	}
	next := history
	next.BeginSend()
	forAllSequences(left-1, next, reference, check)
}

// TestHistory_AllSequencesOfSixSteps_MayHaveRunStays explores every sequence: nothing but a complete promise for the very
// send takes back that it may have run.
func TestHistory_AllSequencesOfSixSteps_MayHaveRunStays(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		start := History{}
		start.AddRemote(1, earlier)
		forAllSequences(6, start, 1, func(history History, sends int) {
			require.Equal(t, sends, history.Sends())
			require.Equal(t, earlier || history.earlierRuns || history.current.MayHaveRun(), history.MayHaveRun())
			if earlier {
				require.True(t, history.MayHaveRun())
				require.False(t, history.MayRetry(false, 100))
			}
			require.False(t, history.MayRetry(true, sends), "the limit holds for all")
			if history.MayRetry(false, 100) {
				require.False(t, history.MayHaveRun())
			}
		})
	}
}

func TestHistory_SentThenEachState_OnlyPromiseAllowsRetry(t *testing.T) {
	for _, to := range states {
		history := History{}
		history.Advance(Sent)
		require.True(t, history.MayHaveRun())
		history.Advance(to)
		require.Equal(t, to != NotExecuted, history.MayHaveRun(), to.String())
		history.BeginSend()
		require.Equal(t, to != NotExecuted, history.MayHaveRun(), "a new send does not undo an earlier one")
	}
	broken := History{}
	broken.Advance(PartlySent)
	broken.Advance(NotExecuted)
	require.True(t, broken.MayHaveRun(), "a promise can't come for what was not sent completely")
}
