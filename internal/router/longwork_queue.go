package router

import (
	"time"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/errkind"
)

// longQueue is the long work of one service that runs or waits here.
type longQueue struct {
	handoff *handoff.Queue
	waiters map[uint64]chan bool // by number; true: it may run, false: it is too late
	loads   map[string]longLoad  // by replica
}

// longLoad is a replica's report of its load.
type longLoad struct {
	running float64
	waiting float64
	slots   float64
	at      time.Time
}

// queue gives the queue of a service, a new one if there is none; the caller holds
// the lock.
func (l *longWork) queue(service string) *longQueue {
	queue := l.queues[service]
	if queue == nil {
		queue = newLongQueue()
		l.queues[service] = queue
	}
	return queue
}

func newLongQueue() *longQueue {
	shares := handoff.QueueOptions{
		MaxWaiting:   longWaiting,
		LateFraction: longLate,
		MaxLateShare: longMost,
		Weight:       longWeight,
		Cut:          longCut,
		Grow:         longGrow,
		Pause:        longPause,
	}
	return &longQueue{
		handoff: handoff.NewQueue(longRoom, shares),
		waiters: map[uint64]chan bool{},
		loads:   map[string]longLoad{},
	}
}

// load takes a replica's report of its load: requests running, requests waiting
// and slots.
func (l *longWork) load(service, replica string, report [3]float64) {
	if !l.enabled() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(service).loads[replica] = longLoad{
		running: report[0],
		waiting: report[1],
		slots:   report[2],
		at:      time.Now(),
	}
}

// idle tells whether the replicas that reported lately have free slots and no
// waiting requests. Nothing is held back while none has reported.
func (x *longQueue) idle() bool {
	var sum longLoad
	for replica, load := range x.loads {
		if time.Since(load.at) > longTold {
			delete(x.loads, replica)
			continue
		}
		sum.running += load.running
		sum.waiting += load.waiting
		sum.slots += load.slots
	}
	return sum.waiting == 0 && sum.running <= longHalf*sum.slots
}

// admit tells the waiters that may run now, and those that are too late; the caller
// holds the lock.
func (l *longWork) admit(queue *longQueue) {
	run, late := queue.handoff.Admit(l.now(), queue.idle())
	queue.tell(run, true)
	queue.tell(late, false)
}

func (x *longQueue) tell(numbers []uint64, mayRun bool) {
	for _, number := range numbers {
		x.waiters[number] <- mayRun
		delete(x.waiters, number)
	}
}

// placeWaiter is a request that waits for a place.
type placeWaiter struct {
	queue   *longQueue
	number  uint64
	granted chan bool
}

// enter waits shortly for a place among the long work that runs here. If there is
// none, the request is refused.
func (q *request) enter() bool {
	admitted, waiter := q.join()
	if waiter != nil {
		select {
		case admitted = <-waiter.granted:
		case <-q.r.Context().Done():
			q.g.long.leaveQueue(waiter)
			q.abandon()
		}
	}
	q.countEntry(admitted)
	if !admitted {
		q.giveUp(errkind.Overloaded, "no place for long work")
	}
	return admitted
}

// join asks for a place: it is admitted, has to wait, or is refused. One that was
// sent before is admitted in any case, and one that another router owns does not
// wait, because its owner does.
func (q *request) join() (admitted bool, waiter *placeWaiter) {
	work := q.g.long
	work.mu.Lock()
	defer work.mu.Unlock()
	queue := work.queue(q.ask.Pool)
	until := work.now() + min(time.Until(q.refuseAt()), time.Until(q.deadline))
	if q.try.Sends() > 0 {
		queue.handoff.Enter()
		return true, nil
	}
	number, now, ok := queue.handoff.Join(until, queue.idle())
	if !ok || now {
		return ok, nil
	}
	if q.taken {
		queue.handoff.Leave(number)
		return false, nil
	}
	waiter = &placeWaiter{queue: queue, number: number, granted: make(chan bool, 1)}
	queue.waiters[number] = waiter.granted
	work.wake()
	return false, waiter
}

// leaveQueue takes a request whose client has gone out of the queue.
func (l *longWork) leaveQueue(waiter *placeWaiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := waiter.queue
	queue.handoff.Leave(waiter.number)
	delete(queue.waiters, waiter.number)
	select {
	case granted := <-waiter.granted: // it was admitted at the same time
		if granted {
			queue.handoff.Release()
		}
	default:
	}
}

func (q *request) countEntry(admitted bool) {
	work := q.g.long
	work.mu.Lock()
	defer work.mu.Unlock()
	if !admitted {
		work.counters.refused++
		return
	}
	if !q.taken {
		work.counters.here++
	}
	q.place = q.ask.Pool
}

// leavePlace ends a request's part in the long work.
func (q *request) leavePlace() {
	if !q.long {
		return
	}
	work := q.g.long
	work.mu.Lock()
	defer work.mu.Unlock()
	delete(work.open, q)
	if q.place == "" {
		return
	}
	queue := work.queue(q.place)
	queue.handoff.Release()
	work.admit(queue)
}

// promptCame takes a request that is no long work, at its first event, into the
// measure of how long prompt answers take in parts of their target latency.
func (q *request) promptCame() {
	work := q.g.long
	if q.long || q.taken || q.path.LatencyTarget <= 0 || q.ask.Chain == nil || !work.enabled() {
		return
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	queue := work.queue(q.ask.Pool)
	queue.handoff.RecordPrompt(work.now(), float64(time.Since(q.arrived))/float64(q.path.LatencyTarget))
	work.admit(queue)
}
