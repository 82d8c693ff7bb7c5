package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"shaletrestle/coord/wait"

	"go.uber.org/atomic"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/rpc"
)

// longWork drives the state machines of package handoff: it carries their
// messages, runs the jobs that were taken and tells the requests whose jobs they
// are.
type longWork struct {
	router       *Router
	ctx          context.Context
	log          *slog.Logger
	self         string // own address for messages between routers
	lines        *rpc.Pool
	start        time.Time
	timerLag     atomic.Duration // how late this process's timers fire
	lastShortage atomic.Time     // when a connection to a replica could not be had
	wakeup       chan struct{}   // wakes the loop

	mu       sync.Mutex
	owner    *handoff.Owner
	taker    *handoff.Taker
	inboxes  map[uint64]chan handoff.Effect // of the requests, by job
	cancels  map[uint64]context.CancelFunc  // of the runs for others, by ticket
	channels map[string]*rpc.Channel        // the channel that an owner used last
	peers    map[string]peer
	queues   map[string]*longQueue // by service
	open     map[*request]struct{} // long work of our clients, from its body to its end
	counters longCounters
}

// longCounters count what became of long work since the start.
type longCounters struct {
	offered   int64 // to a neighbour
	taken     int64 // from a neighbour
	here      int64 // run here
	elsewhere int64 // run by a neighbour
	returned  int64 // by a neighbour that did not run it
	lost      int64 // with a neighbour, and placed anew
	refused   int64
	broken    int64 // lost with a neighbour that may have begun it
}

func newLongWork(gate *Router) *longWork {
	life := rand.Uint64() | 1
	bounds := handoff.Bounds{
		AnswerTimeout: longAnswer,
		AcceptTimeout: longAccept,
		RenewInterval: longRenew,
		Lease:         longLease,
		Tombstones:    longGraves,
	}
	work := &longWork{
		router:   gate,
		ctx:      gate.ctx,
		log:      gate.log.With("part", "longwork"),
		self:     gate.settings.Load().Port(routerPort),
		start:    time.Now(),
		wakeup:   make(chan struct{}, 1),
		owner:    handoff.NewOwner(life, bounds),
		taker:    handoff.NewTaker(life, bounds),
		inboxes:  map[uint64]chan handoff.Effect{},
		cancels:  map[uint64]context.CancelFunc{},
		channels: map[string]*rpc.Channel{},
		peers:    map[string]peer{},
		queues:   map[string]*longQueue{},
		open:     map[*request]struct{}{},
	}
	work.lines = rpc.NewPool(work.ctx, gate.net, gate.handle)
	return work
}

// enabled tells whether long work is switched on now.
func (l *longWork) enabled() bool { return l.router.settings.Load().LongWork.Enabled }

// now is the time of the state machines: the time since the start.
func (l *longWork) now() time.Duration { return time.Since(l.start) }

// run does what falls due, until the context ends.
func (l *longWork) run() {
	var reported longCounters
	reportedAt := time.Now()
	for l.sleep(l.interval()) {
		counters := l.tick()
		if counters == reported || time.Since(reportedAt) < longReport {
			continue
		}
		reported = counters
		reportedAt = time.Now()
		l.log.Info("long work",
			"here", counters.here,
			"offered", counters.offered,
			"elsewhere", counters.elsewhere,
			"taken", counters.taken,
			"returned", counters.returned,
			"lost", counters.lost,
			"broken", counters.broken,
			"refused", counters.refused)
	}
}

// interval is the time to the next tick.
func (l *longWork) interval() time.Duration {
	switch {
	case l.pending(): // also what was begun before it was switched off
		return longTick
	case l.enabled():
		return longCalm
	}
	return longOff
}

// sleep waits for an interval or until it is woken; false if the context ended. By
// how much it wakes late tells how loaded the processor is.
func (l *longWork) sleep(interval time.Duration) bool {
	start := time.Now()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		late := time.Since(start) - interval
		l.timerLag.Store(max(late, l.fadedLag()))
		return true
	case <-l.wakeup:
		l.timerLag.Store(l.fadedLag())
		return true
	case <-l.ctx.Done():
		return false
	}
}

// fadedLag is what stays of the timers' lag until the next tick.
func (l *longWork) fadedLag() time.Duration {
	return time.Duration(float64(l.timerLag.Load()) * longFade)
}

// tick does what has fallen due and gives the counters.
func (l *longWork) tick() longCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taker.SetCapacity(l.capacity())
	l.apply(l.owner.Tick(l.now()))
	l.apply(l.taker.Tick(l.now()))
	pools := l.router.table.Load().Pools
	for service, queue := range l.queues {
		l.admit(queue)
		running, waiting, _ := queue.admission.Stats()
		if pools[service] == nil && running+waiting == 0 {
			delete(l.queues, service)
		}
	}
	return l.counters
}

// pending tells whether anything may soon fall due.
func (l *longWork) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := len(l.inboxes)
	for _, queue := range l.queues {
		jobs += len(queue.waiters)
	}
	accepted, running := l.taker.Jobs()
	return jobs+accepted+running > 0
}

// wake makes the loop look for what falls due.
func (l *longWork) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// drain takes no more from others and returns what was not begun.
func (l *longWork) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.taker.ReturnAccepted())
}

// wait waits for what runs for others, at most for a time.
func (l *longWork) wait(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Until(end) > 0 {
		l.mu.Lock()
		running := len(l.cancels)
		l.mu.Unlock()
		if running == 0 || !wait.Sleep(l.ctx, longTick) {
			return
		}
	}
}
