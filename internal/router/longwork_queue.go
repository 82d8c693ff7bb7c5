package router

import (
	"time"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/errkind"
)

// longQueue is the long work of one service that runs or waits here.
type longQueue struct {
	admission *handoff.Queue
	waiters   map[uint64]chan bool // by number; true: it may run, false: it is too late
	loads     map[string]longLoad  // by replica
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
		admission: handoff.NewQueue(longRoom, shares),
		waiters:   map[uint64]chan bool{},
		loads:     map[string]longLoad{},
	}
}

// recordLoad takes a replica's report of its load: requests running, requests waiting
// and slots.
func (l *longWork) recordLoad(service, replica string, report [3]float64) {
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
func (q *longQueue) idle() bool {
	var sum longLoad
	for replica, load := range q.loads {
		if time.Since(load.at) > longTold {
			delete(q.loads, replica)
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
	run, late := queue.admission.Admit(l.now(), queue.idle())
	queue.notify(run, true)
	queue.notify(late, false)
}

func (q *longQueue) notify(numbers []uint64, mayRun bool) {
	for _, number := range numbers {
		q.waiters[number] <- mayRun
		delete(q.waiters, number)
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
func (req *request) enter() bool {
	admitted, waiter := req.join()
	if waiter != nil {
		select {
		case admitted = <-waiter.granted:
		case <-req.inbound.Context().Done():
			req.router.longWork.leaveQueue(waiter)
			req.abort()
		}
	}
	req.countEntry(admitted)
	if !admitted {
		req.fail(errkind.Overloaded, "no place for long work")
	}
	return admitted
}

// join asks for a place: it is admitted, has to wait, or is refused. One that was
// sent before is admitted in any case, and one that another router owns does not
// wait, because its owner does.
func (req *request) join() (admitted bool, waiter *placeWaiter) {
	work := req.router.longWork
	work.mu.Lock()
	defer work.mu.Unlock()
	queue := work.queue(req.wanted.Pool)
	until := work.now() + min(time.Until(req.rejectAfter()), time.Until(req.deadline))
	if req.history.Sends() > 0 {
		queue.admission.Enter()
		return true, nil
	}
	number, now, ok := queue.admission.Join(until, queue.idle())
	if !ok || now {
		return ok, nil
	}
	if req.forPeer {
		queue.admission.Leave(number)
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
	queue.admission.Leave(waiter.number)
	delete(queue.waiters, waiter.number)
	select {
	case granted := <-waiter.granted: // it was admitted at the same time
		if granted {
			queue.admission.Release()
		}
	default:
	}
}

func (req *request) countEntry(admitted bool) {
	work := req.router.longWork
	work.mu.Lock()
	defer work.mu.Unlock()
	if !admitted {
		work.counters.refused++
		return
	}
	if !req.forPeer {
		work.counters.here++
	}
	req.longWorkService = req.wanted.Pool
}

// leavePlace ends a request's part in the long work.
func (req *request) leavePlace() {
	if !req.isLongWork {
		return
	}
	work := req.router.longWork
	work.mu.Lock()
	defer work.mu.Unlock()
	delete(work.open, req)
	if req.longWorkService == "" {
		return
	}
	queue := work.queue(req.longWorkService)
	queue.admission.Release()
	work.admit(queue)
}

// promptCame takes a request that is no long work, at its first event, into the
// measure of how long prompt answers take in parts of their target latency.
func (req *request) promptCame() {
	work := req.router.longWork
	if req.isLongWork || req.forPeer || req.route.LatencyTarget <= 0 || req.wanted.Chain == nil || !work.enabled() {
		return
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	queue := work.queue(req.wanted.Pool)
	queue.admission.RecordPrompt(work.now(), float64(time.Since(req.arrived))/float64(req.route.LatencyTarget))
	work.admit(queue)
}
