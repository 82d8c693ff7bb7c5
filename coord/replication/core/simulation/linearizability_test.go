package simulation

import (
	"math"

	"github.com/anishathalye/porcupine"

	"shaletrestle/coord/replication/core"
)

// The clients' history is checked key by key: a history is linearizable if and only if the part of each object is.

// modelInput is one call as the model sees it.
type modelInput struct {
	call          callID
	request       request
	outcome       core.Outcome
	indeterminate bool // it took effect, and the client was not told
}

// modelState is a key. taken is the commands that were taken, the newest first.
type modelState struct {
	observed
	taken *takenCommand
}

type takenCommand struct {
	command commandID
	before  *takenCommand
}

func (t *takenCommand) has(command commandID) bool {
	for at := t; at != nil; at = at.before {
		if at.command == command {
			return true
		}
	}
	return false
}

func (t *takenCommand) equals(other *takenCommand) bool {
	for t != nil && other != nil && t != other {
		if t.command != other.command {
			return false
		}
		t, other = t.before, other.before
	}
	return t == other
}

func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return modelState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepKey(state.(modelState), input.(modelInput), output.(observed))
		},
		Equal: func(a, b any) bool {
			x, y := a.(modelState), b.(modelState)
			return x.observed == y.observed && x.taken.equals(y.taken)
		},
	}
}

// stepKey tells whether a call may take place now, and what it leaves.
func stepKey(state modelState, in modelInput, out observed) (bool, modelState) {
	r := in.request
	if r.operation == readOperation {
		return out == state.observed, state
	}
	applies := r.operation == flagOperation && state.value != r.value ||
		r.operation == writeOperation && state.version == r.base && !state.taken.has(r.command)
	if in.indeterminate || in.outcome == core.Committed {
		return applies && (in.indeterminate || out == state.after(in).observed), state.after(in)
	}
	if out != state.observed || applies {
		return false, state
	}
	taken := r.operation == flagOperation || state.taken.has(r.command)
	return taken == (in.outcome == core.NoChange), state
}

// after is the state with a change.
func (s modelState) after(in modelInput) modelState {
	next := modelState{observed: observed{version: s.version + 1, last: in.call, value: in.request.value}, taken: s.taken}
	if in.request.command != 0 {
		next.taken = &takenCommand{command: in.request.command, before: s.taken}
	}
	return next
}

// checkLinearizable checks the history of each key.
func (c *cluster) checkLinearizable() {
	inHistory := map[callID]bool{}
	for _, at := range c.monitor.reported {
		inHistory[at.call] = true
	}
	model := keyModel()
	for key := range keyCount {
		if !porcupine.CheckOperations(model, c.keyHistory(key, inHistory)) {
			c.monitor.fail("the clients' history of key %d is not linearizable", key)
		}
	}
}

// keyHistory are the calls that touch a key. A call whose client has no definite result has no end; if it never took effect, which nobody can have seen then, it is left out.
func (c *cluster) keyHistory(key int, inHistory map[callID]bool) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, made := range c.calls {
		isRead := made.request.operation == readOperation
		if !isRead && made.request.key != key {
			continue
		}
		if !made.definite && (isRead || !inHistory[made.id]) {
			continue
		}
		operation := porcupine.Operation{
			ClientId: made.client.number,
			Input:    modelInput{call: made.id, request: made.request, outcome: made.outcome, indeterminate: !made.definite},
			Call:     int64(made.sent),
			Output:   made.seen[key],
			Return:   int64(made.ended),
		}
		if !made.definite {
			operation.Return = math.MaxInt64
		}
		operations = append(operations, operation)
	}
	return operations
}
