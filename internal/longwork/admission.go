package longwork

import (
	"time"

	"shaletrestle/coord/handoff"
)

const (
	initialCapacity = 32.0            // long jobs of a service that may run at once, until it is learned
	idleFraction    = 0.5             // part of the slots taken below which no long work has to wait
	loadLifetime    = 1 * time.Second // a replica's report of its load counts for so long
)

// How the queue of a service learns its capacity.
var queueOptions = handoff.QueueOptions{
	MaxWaiting:   16,                     // each waits a fifth of its latency target at most
	LateFraction: 0.9,                    // of the latency target
	MaxLateShare: 0.03,                   // burst and bad luck alone give some hundredths
	Weight:       0.01,                   // the last hundred count
	Cut:          0.8,                    // of the capacity
	Grow:         0.05,                   // one job for twenty responses in time
	Pause:        500 * time.Millisecond, // what a cut does shows in the next responses
}

// queue is the long work of one service that runs or waits here.
type queue struct {
	admission *handoff.Queue
	waiters   map[uint64]chan bool // by number; true: admitted, false: it is too late
	loads     map[string]loadReport
}

// Load is a replica's report of its load.
type Load struct {
	Running float64 // requests
	Waiting float64 // requests
	Slots   float64 // requests that it runs at once
}

// loadReport is the newest report of a replica.
type loadReport struct {
	Load
	at time.Time
}

// waiter is a request that waits for admission.
type waiter struct {
	queue    *queue
	number   uint64
	admitted chan bool
}

// queue returns the queue of a service, a new one if there is none; the caller holds the lock.
func (c *Coordinator) queue(service string) *queue {
	known := c.queues[service]
	if known == nil {
		known = newQueue()
		c.queues[service] = known
	}
	return known
}

func newQueue() *queue {
	return &queue{
		admission: handoff.NewQueue(initialCapacity, queueOptions),
		waiters:   map[uint64]chan bool{},
		loads:     map[string]loadReport{},
	}
}

// RecordLoad takes a replica's report of its load.
func (c *Coordinator) RecordLoad(service, replica string, load Load) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue(service).loads[replica] = loadReport{Load: load, at: time.Now()}
}

// RecordInteractive takes the measurement of a request that is no long work, at the first event of its response: how long
// that took in parts of the latency target, which must be positive.
func (c *Coordinator) RecordInteractive(service string, arrivedAt time.Time, latencyTarget time.Duration) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queue(service)
	queue.admission.RecordInteractive(c.now(), float64(time.Since(arrivedAt))/float64(latencyTarget))
	c.admit(queue)
}

// idle reports whether the replicas that reported lately have free slots and no waiting requests. No long work has to
// wait while none has reported.
func (q *queue) idle() bool {
	var sum Load
	for replica, load := range q.loads {
		if time.Since(load.at) > loadLifetime {
			delete(q.loads, replica)
			continue
		}
		sum.Running += load.Running
		sum.Waiting += load.Waiting
		sum.Slots += load.Slots
	}
	return sum.Waiting == 0 && sum.Running <= idleFraction*sum.Slots
}

// admit notifies the waiters that may run now, and those that are too late; the caller holds the lock.
func (c *Coordinator) admit(queue *queue) {
	run, late := queue.admission.Admit(c.now(), queue.idle())
	queue.notify(run, true)
	queue.notify(late, false)
}

func (q *queue) notify(numbers []uint64, admitted bool) {
	for _, number := range numbers {
		q.waiters[number] <- admitted
		delete(q.waiters, number)
	}
}

// leaveQueue takes a request whose client has gone out of its queue.
func (c *Coordinator) leaveQueue(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := w.queue
	queue.admission.Leave(w.number)
	delete(queue.waiters, w.number)
	select {
	case admitted := <-w.admitted: // it was admitted at the same time
		if admitted {
			queue.admission.Release()
		}
	default:
	}
}
