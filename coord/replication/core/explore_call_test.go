package core

import (
	"errors"
	"strings"
)

// callState is a command or a read of the model's clients.
type callState struct {
	kind        callKind
	token       Token
	node        int
	floor       string // the longest state that a definite result reported before this call began
	decided     string // what Decide saw
	ran         bool   // Decide ran
	done        bool
	outcome     Outcome
	confirmedBy uint8 // members that granted the view when they were asked after the call, or after Decide
}

type callKind uint8

const (
	writeCall callKind = iota + 1
	checkCall          // rejected if the state has a "1", in force if not; never writes
	readCall
)

var errHasOne = errors.New("there is a one already")

// bindOrders lets the waiting commands decide on this state's machine.
func (m *model) bindOrders(i int) {
	c := m.nodes[i].core
	for j := range c.commands {
		c.commands[j].Decide = m.decide(i, c.commands[j].Token)
	}
}

// decide makes the function of a command.
func (m *model) decide(i int, token Token) func() ([]byte, error) {
	return func() ([]byte, error) {
		call := m.callOf(token)
		content := m.nodes[i].machine.content
		call.decided = content
		call.ran = true
		call.confirmedBy = 0
		if call.kind == writeCall {
			return []byte(writeName(token)), nil
		}
		if strings.Contains(content, writeName(2)) {
			return nil, errHasOne
		}
		return nil, nil
	}
}

func writeName(token Token) string { return string(rune('0' + token - 1)) }

func (m *model) callOf(token Token) *callState {
	for i := range m.calls {
		if m.calls[i].token == token {
			return &m.calls[i]
		}
	}
	return nil
}

// callSet holds a bit for each of the model's calls.
type callSet uint8

// callsOf are the calls of a member that a round of confirmation begun now may serve: reads, and commands that are decided.
func (m *model) callsOf(i int) callSet {
	var set callSet
	for j, call := range m.calls {
		if call.node == i && !call.done && (call.ran || call.kind == readCall) {
			set |= 1 << j
		}
	}
	return set
}

// recordConfirmation notes whose grant reaches a member, for the calls that the question was asked for.
func (m *model) recordConfirmation(h happening) {
	reply, ok := h.message.(ConfirmReply)
	if !ok || reply.Rejection != Granted {
		return
	}
	for j := range m.calls {
		if m.calls[j].node == h.node && !m.calls[j].done && h.calls>>j&1 == 1 {
			m.calls[j].confirmedBy |= 1 << memberIndex(reply.From.Address)
		}
	}
}

// answered checks a definite result against all that were given before.
func (m *model) answered(answer Result) {
	call := m.callOf(answer.Token)
	if call == nil || call.done {
		return
	}
	call.done = true
	call.outcome = answer.Outcome
	node := m.nodes[call.node]
	reported := call.decided
	if answer.Outcome == Committed || answer.Outcome == Current {
		reported = node.machine.content
	}
	if answer.Outcome == Deposed {
		m.watch.notExecuted = append(m.watch.notExecuted, writeName(call.token))
	}
	if answer.Outcome.IsDefinite() {
		m.watch.clear(m, call, reported)
	}
}

// call begins the next command or read at a member.
func (m *model) call(i int) *model {
	out := m.copied()
	kind := out.rules.calls[len(out.calls)]
	token := out.tokenBase + Token(len(out.calls)) + 1
	out.calls = append(out.calls, callState{kind: kind, token: token, node: i, floor: out.watch.reported})
	deadline := out.now - out.nodes[i].born + 6*unit
	if kind == readCall {
		out.step(i, Read{Token: token, Deadline: deadline})
		return out
	}
	out.step(i, Command{Token: token, Deadline: deadline, Decide: out.decide(i, token)})
	return out
}
