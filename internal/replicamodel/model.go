package replicamodel

import (
	"sort"
	"time"
)

// Model is one replica. Make it with [New]. It is not safe for concurrent use.
type Model struct {
	spec       Spec
	memory     *memory
	sequence   int // of the newest request
	waiting    []*request
	running    []*request
	prefilling map[*request]int // prompt tokens prefilled in the step under way
	stepEnd    time.Duration    // of the step under way
	busy       bool             // a step is under way
	prefilled  int64            // prompt tokens since the start
}

// New returns an idle replica with an empty cache.
func New(spec Spec) *Model {
	return &Model{spec: spec, memory: newMemory(spec.MemoryTokens), prefilling: map[*request]int{}}
}

// Offer takes a request at a time; false if the replica is full or could never
// hold the request.
func (m *Model) Offer(now time.Duration, job Job) bool {
	if job.promptTokens()+job.OutputTokens > m.spec.MemoryTokens {
		return false
	}
	if len(m.running)+len(m.waiting) >= m.spec.Slots+m.spec.QueueLimit {
		return false
	}
	m.sequence++
	m.enqueue(&request{Job: job, sequence: m.sequence})
	if !m.busy {
		m.beginStep(now)
	}
	return true
}

// enqueue puts a request into the queue, which is ordered by urgency, then by
// arrival.
func (m *Model) enqueue(added *request) {
	m.waiting = append(m.waiting, added)
	sort.SliceStable(m.waiting, func(i, j int) bool {
		a, b := m.waiting[i], m.waiting[j]
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		return a.sequence < b.sequence
	})
}

// Cancel ends a request whose caller has gone; one that is unknown is ignored.
func (m *Model) Cancel(id string) {
	for i, request := range m.waiting {
		if request.ID == id {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	for _, request := range m.running {
		if request.ID == id {
			m.release(request)
			return
		}
	}
}

// StepEnd is the end of the step under way; false if the replica is idle.
func (m *Model) StepEnd() (time.Duration, bool) { return m.stepEnd, m.busy }

// admit makes room for a request's prompt and begins the prefill of what is not cached
// of it; false if there is no room.
func (m *Model) admit(admitted *request) bool {
	path, cached, ok := m.memory.acquire(admitted.Parts)
	if !ok {
		return false
	}
	admitted.path = path
	admitted.unprefilled = admitted.promptTokens() - cached
	admitted.unprefilled += admitted.generated // what it generated before it was preempted is prefilled too
	m.memory.reserve(admitted.generated)
	m.running = append(m.running, admitted)
	return true
}

// release takes a request off the batch; the parts that were prefilled to their end stay in
// the cache.
func (m *Model) release(released *request) {
	for i, request := range m.running {
		if request == released {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	m.memory.reserve(-released.generated)
	m.memory.release(released.path)
	delete(m.prefilling, released)
	released.path = nil
}

// Load reports how busy the replica is.
func (m *Model) Load() Load {
	return Load{
		Active:          len(m.running),
		Queued:          len(m.waiting),
		PinnedTokens:    m.memory.pinned,
		MemoryTokens:    m.memory.used,
		PrefilledTokens: m.prefilled,
	}
}
