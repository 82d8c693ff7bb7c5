package longwork

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/settings"
)

const (
	tickInterval   = 50 * time.Millisecond  // while something can become due; a late tick shows a loaded processor
	calmInterval   = 250 * time.Millisecond // while nothing can; lateness is looked for
	offInterval    = 2 * time.Second        // while long work is switched off; only a reload is looked for
	reportInterval = 10 * time.Second       // the counters are logged this often at most, if they changed
	lagDecay       = 0.8                    // part of the timers' lag that stays from tick to tick
)

// The bounds of the handoff, the same in all routers.
const (
	answerTimeout = 60 * time.Millisecond  // a few round trips; a request that must be rejected sooner is not offered
	acceptTimeout = 500 * time.Millisecond // two repeats of a go-ahead fit
	renewInterval = 200 * time.Millisecond // five go-aheads fit into a lease
	lease         = 1 * time.Second
	tombstones    = 64 // each is some hundred bytes
)

// Router is what long work needs of the router that it belongs to. All methods must be safe for concurrent use and must
// not wait, except RunForPeer.
type Router interface {
	// Settings are those in force.
	Settings() *settings.Settings
	// AcceptsWork reports whether jobs of peers may come here at all.
	AcceptsWork() bool
	// BodyMemory is the memory that request bodies take and may take, in bytes.
	BodyMemory() (used, limit float64)
	// HasService reports whether the configuration in force names a service.
	HasService(name string) bool
	// RunForPeer runs a request like one of a client of this router that came when the job was offered, and returns when
	// it has ended. It sends it to the given number of replicas at most.
	RunForPeer(writer http.ResponseWriter, request *http.Request, attempts int, offeredAt time.Time) Run
}

// Options are what a Coordinator is made from. All fields are needed.
type Options struct {
	Log    *slog.Logger
	Router Router
	Self   string    // own address for messages between routers
	Lines  *rpc.Pool // channels to peers
}

// Coordinator places the long work of one router. It is safe for concurrent use.
type Coordinator struct {
	ctx          context.Context // of the process: runs for peers end with it
	log          *slog.Logger
	router       Router
	self         string
	lines        *rpc.Pool
	start        time.Time
	timerLag     atomic.Duration // how late this process's timers fire
	lastShortage atomic.Time     // when a connection to a replica could not be had
	wakeup       chan struct{}   // wakes Run

	mu       sync.Mutex // guards the fields below
	owner    *handoff.Owner
	taker    *handoff.Taker
	inboxes  map[uint64]chan handoff.Effect // of the requests that were offered, by job
	cancels  map[uint64]context.CancelFunc  // of the runs for peers, by ticket
	channels map[string]*rpc.Channel        // the channel that an owner used last, by its address
	peers    map[string]peer                // by address
	queues   map[string]*queue              // by service
	open     map[*Work]struct{}             // requests of clients and peers, from Begin to Close
	counters counters
}

// counters count what became of long work since the start.
type counters struct {
	offered       int64 // to a peer
	taken         int64 // from a peer
	here          int64 // run here
	elsewhere     int64 // run by a peer
	returned      int64 // by a peer that did not run it
	lost          int64 // with a peer, and placed anew
	rejected      int64
	indeterminate int64 // lost with a peer that may have begun it
}

// New returns a coordinator without work. The context is the process's: when it ends, so do Run and the runs for peers.
func New(ctx context.Context, options Options) *Coordinator {
	incarnation := rand.Uint64() | 1
	bounds := handoff.Bounds{
		AnswerTimeout: answerTimeout,
		AcceptTimeout: acceptTimeout,
		RenewInterval: renewInterval,
		Lease:         lease,
		Tombstones:    tombstones,
	}
	return &Coordinator{
		ctx:      ctx,
		log:      options.Log.With("part", "longwork"),
		router:   options.Router,
		self:     options.Self,
		lines:    options.Lines,
		start:    time.Now(),
		wakeup:   make(chan struct{}, 1),
		owner:    handoff.NewOwner(incarnation, bounds),
		taker:    handoff.NewTaker(incarnation, bounds),
		inboxes:  map[uint64]chan handoff.Effect{},
		cancels:  map[uint64]context.CancelFunc{},
		channels: map[string]*rpc.Channel{},
		peers:    map[string]peer{},
		queues:   map[string]*queue{},
		open:     map[*Work]struct{}{},
	}
}

// Enabled reports whether long work is switched on now. While it is off, only what was begun before goes on.
func (c *Coordinator) Enabled() bool { return c.router.Settings().LongWork.Enabled }

// now is the time of the state machines: the time since the start.
func (c *Coordinator) now() time.Duration { return time.Since(c.start) }

// Run does what becomes due, until the context ends.
func (c *Coordinator) Run() {
	var reported counters
	reportedAt := time.Now()
	for c.sleep(c.interval()) {
		current := c.tick()
		if current == reported || time.Since(reportedAt) < reportInterval {
			continue
		}
		reported = current
		reportedAt = time.Now()
		c.log.Info("long work counters",
			"here", current.here,
			"offered", current.offered,
			"elsewhere", current.elsewhere,
			"taken", current.taken,
			"returned", current.returned,
			"lost", current.lost,
			"indeterminate", current.indeterminate,
			"rejected", current.rejected)
	}
}

// interval is the time to the next tick.
func (c *Coordinator) interval() time.Duration {
	switch {
	case c.pending(): // also what was begun before it was switched off
		return tickInterval
	case c.Enabled():
		return calmInterval
	}
	return offInterval
}

// sleep waits for an interval or until it is woken; false if the context ended. By how much it wakes late shows how loaded
// the processor is.
func (c *Coordinator) sleep(interval time.Duration) bool {
	start := time.Now()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		late := time.Since(start) - interval
		c.timerLag.Store(max(late, c.decayedLag()))
		return true
	case <-c.wakeup:
		c.timerLag.Store(c.decayedLag())
		return true
	case <-c.ctx.Done():
		return false
	}
}

// decayedLag is what stays of the timers' lag until the next tick.
func (c *Coordinator) decayedLag() time.Duration {
	return time.Duration(float64(c.timerLag.Load()) * lagDecay)
}

// tick does what has become due and returns the counters.
func (c *Coordinator) tick() counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taker.SetCapacity(c.capacity())
	c.apply(c.owner.Tick(c.now()))
	c.apply(c.taker.Tick(c.now()))
	for service, queue := range c.queues {
		c.admit(queue)
		running, waiting, _ := queue.admission.Stats()
		if running+waiting == 0 && !c.router.HasService(service) {
			delete(c.queues, service)
		}
	}
	return c.counters
}

// pending reports whether anything may soon become due.
func (c *Coordinator) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs := len(c.inboxes)
	for _, queue := range c.queues {
		jobs += len(queue.waiters)
	}
	accepted, running := c.taker.Jobs()
	return jobs+accepted+running > 0
}

// wake makes Run look for what is due.
func (c *Coordinator) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Drain returns the jobs of peers that were not begun, for a shutdown. The router must accept no more work by then.
func (c *Coordinator) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.taker.ReturnAccepted())
}

// Wait waits until what runs for peers has ended, at most for the timeout.
func (c *Coordinator) Wait(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Until(end) > 0 {
		c.mu.Lock()
		running := len(c.cancels)
		c.mu.Unlock()
		if running == 0 || !wait.Sleep(c.ctx, tickInterval) {
			return
		}
	}
}
