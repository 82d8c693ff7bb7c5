package simulation

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// historyCall is a call of a hand-made history. end 0: the client has no answer, and the call took effect.
type historyCall struct {
	id      callID
	request request
	outcome core.Outcome
	seen    observed
	begin   int64
	end     int64
}

func linearizable(calls ...historyCall) bool {
	var operations []porcupine.Operation
	for i, made := range calls {
		operation := porcupine.Operation{
			ClientId: i,
			Input:    modelInput{call: made.id, request: made.request, outcome: made.outcome, indeterminate: made.end == 0},
			Call:     made.begin,
			Output:   made.seen,
			Return:   made.end,
		}
		if made.end == 0 {
			operation.Return = 1 << 40
		}
		operations = append(operations, operation)
	}
	return porcupine.CheckOperations(keyModel(), operations)
}

func writeOn(base uint64, command commandID) request {
	return request{operation: writeOperation, command: command, base: base}
}

func setFlag(value bool) request {
	return request{operation: flagOperation, key: registerCount, value: value}
}

var readAll = request{operation: readOperation}

// TestKeyModel_Registers shows which histories of commands the check accepts, and which not.
func TestKeyModel_Registers(t *testing.T) {
	taken := historyCall{1, writeOn(0, 1), core.Committed, observed{version: 1, last: 1}, 1, 2}
	afterIt := observed{version: 1, last: 1}
	accepted := map[string][]historyCall{
		"one command":                    {taken},
		"a repeat of one that was taken": {taken, {2, writeOn(0, 1), core.NoChange, afterIt, 3, 4}},
		"a late command is rejected":     {taken, {2, writeOn(0, 2), core.Rejected, afterIt, 3, 4}},
		"a rejection beside the command": {taken, {2, writeOn(5, 2), core.Rejected, observed{}, 1, 2}},
		"no result, and it took effect":  {{1, writeOn(0, 1), 0, observed{}, 1, 0}, {2, readAll, core.Current, afterIt, 3, 4}},
		"no result, effect much later":   {{1, writeOn(0, 1), 0, observed{}, 1, 0}, {2, readAll, core.Current, observed{}, 3, 4}, {3, readAll, core.Current, afterIt, 5, 6}},
	}
	for name, calls := range accepted {
		require.True(t, linearizable(calls...), name)
	}
	rejected := map[string][]historyCall{
		"two commands on one version":             {taken, {2, writeOn(0, 2), core.Committed, observed{version: 1, last: 2}, 1, 5}},
		"a repeat of one that was taken rejected": {taken, {2, writeOn(0, 1), core.Rejected, afterIt, 3, 4}},
		"an old read":                 {taken, {2, readAll, core.Current, observed{}, 3, 4}},
		"a rejection by an old state": {taken, {2, writeOn(1, 2), core.Rejected, observed{}, 3, 4}},
		"no change, and never taken":  {{1, writeOn(0, 1), core.NoChange, observed{}, 1, 2}},
		"a read that goes back":       {{1, writeOn(0, 1), 0, observed{}, 1, 0}, {2, readAll, core.Current, afterIt, 3, 4}, {3, readAll, core.Current, observed{}, 5, 6}},
	}
	for name, calls := range rejected {
		require.False(t, linearizable(calls...), name)
	}
}

// TestKeyModel_Flags does the same for flags.
func TestKeyModel_Flags(t *testing.T) {
	set := historyCall{1, setFlag(true), core.Committed, observed{version: 1, last: 1, value: true}, 1, 2}
	cleared := historyCall{2, setFlag(false), core.Committed, observed{version: 2, last: 2}, 3, 4}
	require.True(t, linearizable(set, cleared))
	require.True(t, linearizable(set, historyCall{2, setFlag(true), core.NoChange, set.seen, 3, 4}))
	require.False(t, linearizable(set, cleared, historyCall{3, setFlag(true), core.NoChange, set.seen, 5, 6}), "no change after it was taken back")
	require.False(t, linearizable(set, historyCall{2, setFlag(true), core.Committed, observed{version: 2, last: 2, value: true}, 3, 4}), "set twice")
	require.False(t, linearizable(set, historyCall{2, setFlag(false), core.NoChange, observed{}, 3, 4}), "cleared before it was")
}
