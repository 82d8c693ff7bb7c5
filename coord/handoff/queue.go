package handoff

import (
	"sort"
	"time"
)

// QueueOptions are what the queue learns with: by measurement of prompt work, never by a fixed part of the slots.
type QueueOptions struct {
	MaxWaiting   int           // long jobs that may wait at once
	LateFraction float64       // a prompt answer is late if its first event took more than this part of its aim
	MaxLateShare float64       // so many of them may be late: some are, whatever long work does
	Weight       float64       // of the newest in that share
	Cut          float64       // the room for long work is cut to this part when more are late
	Grow         float64       // and grows by so much for each prompt answer in time
	Pause        time.Duration // between two cuts: what a cut does is seen only after it
}

type waiter struct {
	number uint64
	until  time.Duration
}

// Queue lets long work of this process go to replicas: as much at once as leaves prompt work in time, the rest waits shortly.
type Queue struct {
	s       QueueOptions
	next    uint64
	room    float64 // long jobs that may run at once, learned
	runs    int
	waiting []waiter // by until
	late    float64  // share of the latest prompt answers that were late
	cutAt   time.Duration
	cuts    int
}

// NewQueue makes a queue that starts with room for so many jobs.
func NewQueue(room float64, s QueueOptions) *Queue { return &Queue{s: s, room: room} }

// Join asks for a place until a moment. now true: it may run at once. ok false: the queue is full.
func (q *Queue) Join(until time.Duration, idle bool) (number uint64, now, ok bool) {
	if len(q.waiting) == 0 && (idle || float64(q.runs+1) <= q.room) {
		q.runs++
		return 0, true, true
	}
	if len(q.waiting) >= q.s.MaxWaiting {
		return 0, false, false
	}
	q.next++
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].until > until })
	q.waiting = append(q.waiting, waiter{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = waiter{q.next, until}
	return q.next, false, true
}

// Enter counts a job that may not be held back, for its run was begun elsewhere.
func (q *Queue) Enter() { q.runs++ }

// Leave takes a waiting job out.
func (q *Queue) Leave(number uint64) {
	for i, w := range q.waiting {
		if w.number == number {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Release notes that a job that ran has ended.
func (q *Queue) Release() { q.runs = max(0, q.runs-1) }

// Admit names the jobs that may run now, those whose time ends first before others; what waited too long is given too, as late.
func (q *Queue) Admit(now time.Duration, idle bool) (run, late []uint64) {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		switch {
		case idle || float64(q.runs+1) <= q.room:
			q.runs++
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

// RecordPrompt takes what was measured of one prompt answer: the part of its aim that the first event took.
func (q *Queue) RecordPrompt(now time.Duration, part float64) {
	if part <= q.s.LateFraction {
		q.late -= q.s.Weight * q.late
		if float64(q.runs) >= q.room-1 { // room that nobody uses is not known to be there
			q.room += q.s.Grow
		}
		return
	}
	q.late += q.s.Weight * (1 - q.late)
	if q.late <= q.s.MaxLateShare {
		return
	}
	if q.cuts == 0 || now-q.cutAt >= q.s.Pause {
		q.cutAt = now
		q.late = 0 // what was seen is answered: the next cut needs new late ones
		q.cuts++
		q.room = max(1, min(q.room, float64(max(1, q.runs)))*q.s.Cut)
	}
}

// Stats tells what runs, what waits, and the learned room.
func (q *Queue) Stats() (runs, waiting int, room float64) { return q.runs, len(q.waiting), q.room }
