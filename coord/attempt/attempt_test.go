package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var all = []State{NotSent, PartlySent, Sent, NotExecuted, Answered}

func TestStatesOnlyGoForward(t *testing.T) {
	allowed := map[[2]State]bool{
		{NotSent, PartlySent}: true, {NotSent, Sent}: true, {PartlySent, Sent}: true, {Sent, NotExecuted}: true, {Sent, Answered}: true,
	}
	for _, from := range all {
		for _, to := range all {
			require.Equal(t, allowed[[2]State{from, to}], to.follows(from), "%s to %s", from, to)
		}
	}
	require.Equal(t, "unknown", State(len(all)).String())
}

// every plays all sequences of so many moves and new sendings.
func every(t *testing.T, left int, try History, reference int, check func(History, int)) {
	check(try, reference)
	if left == 0 {
		return
	}
	for _, to := range all {
		next, sum := try, reference
		next.Advance(to)
		if try.current == NotSent && next.current != NotSent {
			sum++
		}
		every(t, left-1, next, sum, check)
	}
	next := try
	next.BeginSend()
	every(t, left-1, next, reference, check)
}

// TestWhatMayHaveRunStaysSo explores every sequence of six moves: nothing but a whole promise for the very
// sending takes back that it may have run.
func TestWhatMayHaveRunStaysSo(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		start := History{}
		start.AddRemote(1, earlier)
		every(t, 6, start, 1, func(try History, sent int) {
			require.Equal(t, sent, try.Sends())
			require.Equal(t, earlier || try.earlierRuns || try.current.MayHaveRun(), try.MayHaveRun())
			if earlier {
				require.True(t, try.MayHaveRun())
				require.False(t, try.MayRetry(false, 100))
			}
			require.False(t, try.MayRetry(true, sent), "the limit holds for all")
			if try.MayRetry(false, 100) {
				require.False(t, try.MayHaveRun())
			}
		})
	}
}

func TestOnlyAPromiseFreesASending(t *testing.T) {
	for _, to := range all {
		try := History{}
		try.Advance(Sent)
		require.True(t, try.MayHaveRun())
		try.Advance(to)
		require.Equal(t, to != NotExecuted, try.MayHaveRun(), to.String())
		try.BeginSend()
		require.Equal(t, to != NotExecuted, try.MayHaveRun(), "a new sending takes nothing back")
	}
	broken := History{}
	broken.Advance(PartlySent)
	broken.Advance(NotExecuted)
	require.True(t, broken.MayHaveRun(), "a promise can't come for what was not sent whole")
}
