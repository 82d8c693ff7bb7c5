// Package replicamodel is the model of a replica: slots, a queue, batch steps, the reading of prompts in pieces, and a memory of prompt parts in which those unused longest give way. It does no input or output and knows no clock: the caller tells the time and asks what happens next.
package replicamodel

import (
	"container/list"
	"sort"

	"shaletrestle/internal/clock"
)

// Spec is one replica's size and speed.
type Spec struct {
	Slots   int        // requests that run at once
	Queue   int        // requests that may wait beyond them
	Step    clock.Span // a batch step with one request in it
	Each    clock.Span // what every further request adds to it
	Prefill float64    // prompt tokens read a second
	Chunk   int        // prompt tokens read at most between two tokens of the others
	Memory  int        // tokens that running requests and kept parts share
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Job is a request to generate.
type Job struct {
	ID      string
	Parts   []Part
	Out     int // tokens to come
	Urgency int // 0 first
}

func (j *Job) in() (n int) {
	for _, p := range j.Parts {
		n += p.Tokens
	}
	return
}

// Token is one token that came.
type Token struct {
	ID   string
	N    int // the how-manieth of its request
	Last bool
}

// node is one kept part behind the parts before it.
type node struct {
	up     *node
	down   map[Part]*node
	part   Part
	whole  bool // read to its end
	refs   int  // running requests that use it
	recent *list.Element
}

type job struct {
	Job
	seq  int
	made int
	left int // prompt tokens still to be read
	path []*node
}

// Kiln is one replica.
type Kiln struct {
	spec    Spec
	root    *node
	recent  *list.List // kept parts, those used last in front
	used    int        // tokens of all kept parts and of what the running ones made
	fixed   int        // of these, what can't give way
	seq     int
	waiting []*job
	running []*job
	read    map[*job]int // prompt tokens read in the step under way
	end     clock.Span   // of the step under way
	busy    bool
	reads   int64 // prompt tokens read since the start
}

// New makes an idle replica with an empty memory.
func New(s Spec) *Kiln {
	return &Kiln{spec: s, root: &node{down: map[Part]*node{}}, recent: list.New(), read: map[*job]int{}}
}

// Offer takes a request at a moment; false if the replica is full or could never hold it.
func (k *Kiln) Offer(now clock.Span, j Job) bool {
	if j.in()+j.Out > k.spec.Memory || len(k.running)+len(k.waiting) >= k.spec.Slots+k.spec.Queue {
		return false
	}
	k.seq++
	k.wait(&job{Job: j, seq: k.seq})
	if !k.busy {
		k.begin(now)
	}
	return true
}

func (k *Kiln) wait(j *job) {
	k.waiting = append(k.waiting, j)
	sort.SliceStable(k.waiting, func(a, b int) bool {
		x, y := k.waiting[a], k.waiting[b]
		if x.Urgency != y.Urgency {
			return x.Urgency < y.Urgency
		}
		return x.seq < y.seq
	})
}

// Drop ends a request whose caller has gone.
func (k *Kiln) Drop(id string) {
	for i, j := range k.waiting {
		if j.ID == id {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			return
		}
	}
	for _, j := range k.running {
		if j.ID == id {
			k.release(j)
			return
		}
	}
}

// Next is the end of the step under way; false if the replica is idle.
func (k *Kiln) Next() (clock.Span, bool) { return k.end, k.busy }

// Step ends the step under way, begins the next and gives the tokens that came.
func (k *Kiln) Step() []Token {
	if !k.busy {
		return nil
	}
	var out []Token
	for _, j := range append([]*job{}, k.running...) {
		n := k.read[j]
		j.left -= n
		k.reads += int64(n)
		if j.left > 0 {
			continue
		}
		for _, p := range j.path {
			p.whole = true
		}
		j.made++
		k.used++
		k.fixed++
		out = append(out, Token{j.ID, j.made, j.made >= j.Out})
		if j.made >= j.Out {
			k.release(j)
		}
	}
	for k.used > k.spec.Memory && (k.evict() || k.putBack()) {
	}
	k.begin(k.end)
	return out
}

// begin lets in what fits and works out how long the next step takes.
func (k *Kiln) begin(now clock.Span) {
	for len(k.running) < k.spec.Slots && len(k.waiting) > 0 && k.admit(k.waiting[0]) {
		k.waiting = k.waiting[1:]
	}
	clear(k.read)
	k.busy = len(k.running) > 0
	if !k.busy {
		return
	}
	room, decoding, read := k.spec.Chunk, 0, 0
	for _, j := range k.running {
		if j.left == 0 {
			decoding++
			continue
		}
		n := min(room, j.left)
		k.read[j] = n
		room -= n
		read += n
	}
	d := clock.Seconds(float64(read) / k.spec.Prefill)
	if decoding > 0 {
		d += k.spec.Step + clock.Span(decoding-1)*k.spec.Each
	}
	k.end = now + d
}

// admit makes room for a request's prompt and starts to read what is not kept of it.
func (k *Kiln) admit(j *job) bool {
	at, kept := k.root, 0
	var path []*node
	whole := true
	for _, p := range j.Parts { // first what is there, so that making room can't take it away
		n := at.down[p]
		if n == nil {
			break
		}
		if whole = whole && n.whole; whole {
			kept += p.Tokens
		}
		k.pin(n)
		path = append(path, n)
		at = n
	}
	need := 1
	for _, p := range j.Parts[len(path):] {
		need += p.Tokens
	}
	for k.used+need > k.spec.Memory {
		if !k.evict() {
			for _, n := range path {
				k.unpin(n)
			}
			return false
		}
	}
	for _, p := range j.Parts[len(path):] {
		n := &node{up: at, down: map[Part]*node{}, part: p}
		at.down[p] = n
		n.recent = k.recent.PushFront(n)
		k.used += p.Tokens
		k.pin(n)
		path = append(path, n)
		at = n
	}
	j.path, j.left = path, j.in()-kept+j.made // what it had made before it was put back is read anew
	k.used += j.made
	k.fixed += j.made
	k.running = append(k.running, j)
	return true
}

func (k *Kiln) pin(n *node) {
	if n.refs++; n.refs == 1 {
		k.fixed += n.part.Tokens
	}
}

func (k *Kiln) unpin(n *node) {
	if n.refs--; n.refs == 0 {
		k.fixed -= n.part.Tokens
	}
}

// release takes a request off the batch; the parts that were read whole stay kept.
func (k *Kiln) release(j *job) {
	for i, x := range k.running {
		if x == j {
			k.running = append(k.running[:i], k.running[i+1:]...)
			break
		}
	}
	k.used -= j.made
	k.fixed -= j.made
	for i := len(j.path) - 1; i >= 0; i-- { // the first part ends up newest: what goes before is never older than what follows
		n := j.path[i]
		k.unpin(n)
		if n.refs == 0 && !n.whole && len(n.down) == 0 {
			k.forget(n)
			continue
		}
		k.recent.MoveToFront(n.recent)
	}
	delete(k.read, j)
	j.path = nil
}

// evict lets the part give way that was unused longest and behind which nothing is kept.
func (k *Kiln) evict() bool {
	for e := k.recent.Back(); e != nil; e = e.Prev() {
		if n := e.Value.(*node); n.refs == 0 && len(n.down) == 0 {
			k.forget(n)
			return true
		}
	}
	return false
}

func (k *Kiln) forget(n *node) {
	delete(n.up.down, n.part)
	k.recent.Remove(n.recent)
	k.used -= n.part.Tokens
}

// putBack sends the newest among the least urgent running requests back into the queue.
func (k *Kiln) putBack() bool {
	if len(k.running) < 2 {
		return false
	}
	worst := k.running[0]
	for _, j := range k.running[1:] {
		if j.Urgency > worst.Urgency || j.Urgency == worst.Urgency && j.seq > worst.seq {
			worst = j
		}
	}
	k.release(worst)
	k.wait(worst)
	return true
}

// Load is what a replica tells of itself.
type Load struct {
	Active, Queued int
	Used           int   // tokens that can't give way
	Kept           int   // tokens in memory altogether
	Read           int64 // prompt tokens read since the start
}

// Load tells how busy the replica is.
func (k *Kiln) Load() Load { return Load{len(k.running), len(k.waiting), k.fixed, k.used, k.reads} }
