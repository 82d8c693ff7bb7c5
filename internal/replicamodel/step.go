package replicamodel

import (
	"time"

	"shaletrestle/internal/durations"
)

// Step ends the step under way, begins the next and gives the generated tokens.
func (m *Model) Step() []Token {
	if !m.busy {
		return nil
	}
	var tokens []Token
	for _, request := range append([]*request{}, m.running...) { // a copy: release changes the list
		if token, ok := m.advance(request); ok {
			tokens = append(tokens, token)
		}
	}
	for m.memory.overfull() {
		if !m.memory.evict() && !m.preempt() {
			break
		}
	}
	m.beginStep(m.stepEnd)
	return tokens
}

// advance ends the step for one request; it gives a token unless the request is
// still being prefilled.
func (m *Model) advance(request *request) (token Token, ok bool) {
	prefilled := m.prefilling[request]
	request.unprefilled -= prefilled
	m.prefilled += int64(prefilled)
	if request.unprefilled > 0 {
		return Token{}, false
	}
	for _, node := range request.path {
		node.complete = true
	}
	request.generated++
	m.memory.reserve(1)
	last := request.generated >= request.OutputTokens
	token = Token{RequestID: request.ID, Number: request.generated, Last: last}
	if last {
		m.release(request)
	}
	return token, true
}

// beginStep admits the requests that fit and computes how long the next step
// takes.
func (m *Model) beginStep(now time.Duration) {
	for len(m.running) < m.spec.Slots && len(m.waiting) > 0 && m.admit(m.waiting[0]) {
		m.waiting = m.waiting[1:]
	}
	clear(m.prefilling)
	m.busy = len(m.running) > 0
	if !m.busy {
		return
	}
	decoding, prefilled := m.planStep()
	duration := durations.FromSeconds(float64(prefilled) / m.spec.PrefillTokensPerSecond)
	if decoding > 0 {
		duration += m.spec.StepTime + time.Duration(decoding-1)*m.spec.StepTimePerRequest
	}
	m.stepEnd = now + duration
}

// planStep shares a chunk among the requests in prefill. It returns how many requests
// generate a token in the step, and the tokens that are prefilled.
func (m *Model) planStep() (decoding, prefilled int) {
	room := m.spec.ChunkTokens
	for _, request := range m.running {
		if request.unprefilled == 0 {
			decoding++
			continue
		}
		tokens := min(room, request.unprefilled)
		m.prefilling[request] = tokens
		room -= tokens
		prefilled += tokens
	}
	return decoding, prefilled
}

// preempt puts the newest among the least urgent running requests back into the
// queue; false if only one request runs.
func (m *Model) preempt() bool {
	if len(m.running) < 2 {
		return false
	}
	worst := m.running[0]
	for _, request := range m.running[1:] {
		if request.isBehind(worst) {
			worst = request
		}
	}
	m.release(worst)
	m.enqueue(worst)
	return true
}

// isBehind reports whether a request is less urgent than another, or as urgent and
// newer.
func (r *request) isBehind(other *request) bool {
	if r.Urgency != other.Urgency {
		return r.Urgency > other.Urgency
	}
	return r.sequence > other.sequence
}
