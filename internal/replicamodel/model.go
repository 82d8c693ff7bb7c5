// Package replicamodel is the model of a model-serving replica: slots, a queue,
// batch steps, the prefill of prompts in chunks, and a cache of prompt parts with
// eviction of the least recently used. It does no input or output and has no
// clock: the caller passes the time and asks what happens next.
package replicamodel

import (
	"sort"
	"time"

	"shaletrestle/internal/durations"
)

// Spec is one replica's size and speed.
type Spec struct {
	Slots                  int           // requests that run at once
	QueueLimit             int           // requests that may wait beyond them
	StepTime               time.Duration // a batch step with one request in it
	StepTimePerRequest     time.Duration // what every further request adds to it
	PrefillTokensPerSecond float64       // prompt tokens a second
	ChunkTokens            int           // prompt tokens at most between two tokens of the other requests
	MemoryTokens           int           // tokens that running requests and the cache share
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Job is a request to generate.
type Job struct {
	ID           string
	Parts        []Part
	OutputTokens int // tokens to generate
	Urgency      int // 0 first
}

// promptTokens is the length of the prompt.
func (j *Job) promptTokens() int {
	tokens := 0
	for _, part := range j.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// Token is one generated token.
type Token struct {
	RequestID string // of the request
	Number    int    // its number in the request, from 1
	Last      bool
}

// Load is what a replica reports of itself.
type Load struct {
	Active          int
	Queued          int
	PinnedTokens    int   // tokens in memory that can't be evicted
	MemoryTokens    int   // all tokens in memory
	PrefilledTokens int64 // prompt tokens read since the start
}

// request is a job that waits or runs.
type request struct {
	Job
	sequence  int // order of arrival
	generated int // tokens
	unread    int // prompt tokens still to be read
	path      []*node
}

// Model is one replica.
type Model struct {
	spec     Spec
	memory   *memory
	sequence int // of the newest request
	waiting  []*request
	running  []*request
	reading  map[*request]int // prompt tokens read in the step under way
	stepEnd  time.Duration    // of the step under way
	busy     bool             // a step is under way
	read     int64            // prompt tokens read since the start
}

// New makes an idle replica with an empty cache.
func New(spec Spec) *Model {
	return &Model{spec: spec, memory: newMemory(spec.MemoryTokens), reading: map[*request]int{}}
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

// Drop ends a request whose caller has gone.
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

// Next is the end of the step under way; false if the replica is idle.
func (m *Model) StepEnd() (time.Duration, bool) { return m.stepEnd, m.busy }

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
// still reading its prompt.
func (m *Model) advance(request *request) (token Token, ok bool) {
	read := m.reading[request]
	request.unread -= read
	m.read += int64(read)
	if request.unread > 0 {
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
	clear(m.reading)
	m.busy = len(m.running) > 0
	if !m.busy {
		return
	}
	decoding, read := m.planStep()
	duration := durations.FromSeconds(float64(read) / m.spec.PrefillTokensPerSecond)
	if decoding > 0 {
		duration += m.spec.StepTime + time.Duration(decoding-1)*m.spec.StepTimePerRequest
	}
	m.stepEnd = now + duration
}

// planStep shares a chunk among the requests that read their prompts. It tells
// how many requests generate a token in the step, and the tokens that are read.
func (m *Model) planStep() (decoding, read int) {
	room := m.spec.ChunkTokens
	for _, request := range m.running {
		if request.unread == 0 {
			decoding++
			continue
		}
		tokens := min(room, request.unread)
		m.reading[request] = tokens
		room -= tokens
		read += tokens
	}
	return decoding, read
}

// admit makes room for a request's prompt and begins to read what is not cached
// of it; false if there is no room.
func (m *Model) admit(admitted *request) bool {
	path, cached, ok := m.memory.acquire(admitted.Parts)
	if !ok {
		return false
	}
	admitted.path = path
	admitted.unread = admitted.promptTokens() - cached
	admitted.unread += admitted.generated // what it generated before it was preempted is read anew
	m.memory.reserve(admitted.generated)
	m.running = append(m.running, admitted)
	return true
}

// release takes a request off the batch; the parts that were read whole stay in
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
	delete(m.reading, released)
	released.path = nil
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

// Load gives how busy the replica is.
func (m *Model) Load() Load {
	return Load{
		Active:          len(m.running),
		Queued:          len(m.waiting),
		PinnedTokens:    m.memory.pinned,
		MemoryTokens:    m.memory.used,
		PrefilledTokens: m.read,
	}
}
