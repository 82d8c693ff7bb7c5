package soak

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerTimeout bounds the check of the history.
const registerTimeout = 60 * time.Second

// registerInput is one call of the operators, as the model sees it: a change on a base, or a read.
type registerInput struct {
	isRead bool
	base   int64
	wrote  registerState // by a change
}

// registerOutput is its result.
type registerOutput struct {
	status int           // of a change: 200, 412, 0 for none
	found  registerState // by a read
}

// registerState is the configuration: its revision, and the marker of the change that wrote it. Two changes may have the
// same revision.
type registerState struct {
	revision int64
	marker   string
}

// registerHistory collects the calls. All methods are safe for concurrent use.
type registerHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	clients    int
}

func (h *registerHistory) add(input registerInput, output registerOutput, begun, ended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clients++
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: h.clients, Input: input, Output: output, Call: int64(begun), Return: int64(ended),
	})
}

// change records a change; one without a clear answer may take effect at any later time, or never.
func (h *registerHistory) change(base int64, wrote registerState, status int, begun, ended time.Duration) {
	if status == 0 {
		ended = math.MaxInt64
	}
	h.add(registerInput{base: base, wrote: wrote}, registerOutput{status: status}, begun, ended)
}

func (h *registerHistory) read(found registerState, begun, ended time.Duration) {
	h.add(registerInput{isRead: true}, registerOutput{found: found}, begun, ended)
}

// check reports whether the history is that of one register, and whether that could be decided in time.
func (h *registerHistory) check(first registerState) (ok, decided bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			return stepRegister(state.(registerState), input.(registerInput), output.(registerOutput))
		},
	}
	result := porcupine.CheckOperationsTimeout(model, h.operations, registerTimeout)
	return result != porcupine.Illegal, result != porcupine.Unknown
}

func (h *registerHistory) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// stepRegister tells whether a call may take place now, and what it leaves. A change without an answer that takes place
// where its base is not the current one has no effect: it may be put behind all others.
func stepRegister(state registerState, input registerInput, output registerOutput) (bool, registerState) {
	if input.isRead {
		return state == output.found, state
	}
	applies := state.revision == input.base
	switch {
	case output.status == http.StatusOK:
		return applies, input.wrote
	case output.status == 0 && applies:
		return true, input.wrote
	case output.status == 0:
		return true, state
	}
	return !applies, state
}
