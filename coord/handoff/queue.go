package handoff

import (
	"sort"
	"time"
)

// QueueOptions say how a queue learns its capacity: by measurement of interactive work, never by a fixed part of the slots.
type QueueOptions struct {
	MaxWaiting   int           // long jobs that may wait at once
	LateFraction float64       // an interactive response is late if its first event took more than this part of its target
	MaxLateShare float64       // share of them that may be late: some are, whatever long work does
	Weight       float64       // weight of the newest one in that share
	Cut          float64       // the capacity is cut to this part when more are late
	Grow         float64       // and grows by this for each interactive response in time
	Pause        time.Duration // between two cuts: the effect of a cut shows only after it
}

type waiter struct {
	number uint64
	until  time.Duration
}

// Queue admits this process's long work to replicas: as much at once as leaves interactive work in time; the rest waits
// shortly. Its methods must not be called concurrently.
type Queue struct {
	options    QueueOptions
	lastNumber uint64
	capacity   float64 // long jobs that may run at once, learned
	running    int
	waiting    []waiter // by until
	lateShare  float64  // share of the latest interactive responses that were late
	cutAt      time.Duration
	cuts       int
}

// NewQueue returns an empty queue that starts with capacity for so many jobs.
func NewQueue(capacity float64, options QueueOptions) *Queue {
	return &Queue{options: options, capacity: capacity}
}

// Join asks for admission, up to a moment. admitted: the job may run at once. ok is false if the queue is full.
func (q *Queue) Join(until time.Duration, idle bool) (number uint64, admitted, ok bool) {
	if len(q.waiting) == 0 && (idle || float64(q.running+1) <= q.capacity) {
		q.running++
		return 0, true, true
	}
	if len(q.waiting) >= q.options.MaxWaiting {
		return 0, false, false
	}
	q.lastNumber++
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].until > until })
	q.waiting = append(q.waiting, waiter{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = waiter{q.lastNumber, until}
	return q.lastNumber, false, true
}

// Enter admits a job at once, over the capacity if need be, because its run was begun elsewhere.
func (q *Queue) Enter() { q.running++ }

// Leave removes a waiting job.
func (q *Queue) Leave(number uint64) {
	for i, w := range q.waiting {
		if w.number == number {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Release records that an admitted job has ended.
func (q *Queue) Release() { q.running = max(0, q.running-1) }

// Admit returns the jobs that may run now, those whose time ends first before others, and those that waited too long.
func (q *Queue) Admit(now time.Duration, idle bool) (run, late []uint64) {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		switch {
		case idle || float64(q.running+1) <= q.capacity:
			q.running++
			run = append(run, w.number)
		case now >= w.until:
			late = append(late, w.number)
		default:
			return run, late
		}
		q.waiting = q.waiting[1:]
	}
	return run, late
}

// RecordInteractive takes the measurement of one interactive response: the part of its target that the first event took.
func (q *Queue) RecordInteractive(now time.Duration, part float64) {
	if part <= q.options.LateFraction {
		q.lateShare -= q.options.Weight * q.lateShare
		if float64(q.running) >= q.capacity-1 { // unused capacity is not known to be there
			q.capacity += q.options.Grow
		}
		return
	}
	q.lateShare += q.options.Weight * (1 - q.lateShare)
	if q.lateShare <= q.options.MaxLateShare {
		return
	}
	if q.cuts == 0 || now-q.cutAt >= q.options.Pause {
		q.cutAt = now
		q.lateShare = 0 // the late ones have had their cut: the next one needs new ones
		q.cuts++
		q.capacity = max(1, min(q.capacity, float64(max(1, q.running)))*q.options.Cut)
	}
}

// Stats returns the numbers of jobs that run and that wait, and the learned capacity.
func (q *Queue) Stats() (running, waiting int, capacity float64) {
	return q.running, len(q.waiting), q.capacity
}
