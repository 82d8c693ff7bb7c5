package router

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/failuredetector"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/slowness"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/listen"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/retrybudget"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

const (
	bytesPerMB = 1 << 20
	// responseMemoryFraction is the part of memory_mb that bytes of replicas may take until they are passed on.
	responseMemoryFraction = 0.25
	// shutdownMargin is how long before the end of its grace a router ends: it has nothing to save, and each stream that
	// still runs may be finished meanwhile.
	shutdownMargin = 300 * time.Millisecond
	// readinessLinger is how long connections are accepted after SIGTERM: the platform asks each second and notices at two
	// misses.
	readinessLinger = 2500 * time.Millisecond
)

// Options are what a router is made from.
type Options struct {
	Settings      *settings.Settings
	Net           rpc.Net              // for its own ports and messages between processes
	Dialer        upstream.Dialer      // to replicas
	SlownessProbe func() time.Duration // does and times the piece of work that shows a slow machine; nil: the usual one
}

// Router is the traffic plane of one process. Its exported methods may be called concurrently.
type Router struct {
	ctx    context.Context // of the process: all of it ends with it
	log    *slog.Logger
	net    rpc.Net // for HTTP
	peers  rpc.Net // for messages between processes, which traffic counts
	dialer upstream.Dialer

	settings atomic.Pointer[settings.Settings] // replaced by Reload

	// What controllers push, and what is derived from it by handleChange.
	store        *state.Store
	cursor       *distribution.Cursor
	follower     *distribution.Follower
	table        atomic.Pointer[routing.Table]
	revisions    atomic.Pointer[modelRevisions]
	warmupShares atomic.Pointer[warmupShares]
	ready        atomic.Bool   // there was a configuration and a list of replicas
	becameReady  chan struct{} // closed then

	// The way of a request. Each of these guards its own state.
	server    *frontend.Server
	bodies    *fairshare.Shares // memory for bodies, in bytes, by route
	responses *upstream.ResponseMemory
	prefixes  *prefixindex.Index
	placer    *placement.Placer
	budget    *retrybudget.Budget
	longWork  *longwork.Coordinator
	inflight  atomic.Int64
	paces     streamPaces
	draining  atomic.Bool   // Shutdown was called
	endsAt    atomic.Time   // when this process will have ended; zero before Shutdown
	serving   chan struct{} // closed once Run serves clients

	listeners atomic.Pointer[ownListeners] // nil before Run

	// Other routers, and this machine among them.
	detector *failuredetector.Watcher
	machine  *slowness.Monitor

	counts     counts
	traffic    *rpc.Traffic
	requests   *requestlog.Log
	invariants *invariant.Recorder
	newestView atomic.Pointer[timedView] // for the invariants; nil before the first change
	dialCounts upstream.DialCounts

	mu            sync.Mutex                     // guards the fields below
	pools         map[string]*upstream.Pool      // by replica id
	keepAlives    map[string]*upstream.KeepAlive // by service
	reportedAt    time.Time                      // when failures were reported last
	limitLoggedAt map[string]time.Time           // by replica id, of those in pools
	controllers   controllerChoice
}

// counts are since the start of the process.
type counts struct {
	requests, rejected, failed, retries, resumed atomic.Int64
}

// New returns a router that Run starts. It ends with the context.
func New(ctx context.Context, log *slog.Logger, options Options) *Router {
	env := options.Settings
	self := env.Port(settings.RouterPortOffset)
	r := &Router{
		ctx:           ctx,
		log:           log,
		net:           options.Net,
		dialer:        options.Dialer,
		store:         state.NewStore(state.Options{Monotonic: true}),
		becameReady:   make(chan struct{}),
		serving:       make(chan struct{}),
		bodies:        fairshare.New(int64(env.Limits.MemoryMB*bytesPerMB*bodyMemoryFraction), fairshare.CalmFraction),
		responses:     upstream.NewResponseMemory(int64(env.Limits.MemoryMB * bytesPerMB * responseMemoryFraction)),
		prefixes:      prefixindex.NewIndex(),
		machine:       slowness.NewMonitor(log, options.SlownessProbe),
		pools:         map[string]*upstream.Pool{},
		keepAlives:    map[string]*upstream.KeepAlive{},
		limitLoggedAt: map[string]time.Time{},
		controllers:   controllerChoice{failedAt: map[string]time.Time{}},
	}
	r.traffic = rpc.NewTraffic(env.Zone, rpc.TrafficOptions{ZoneOf: r.controllerZone, OnInvalid: r.logInvalidMessage})
	r.peers = r.traffic.Net(options.Net)
	r.invariants = r.newInvariants()
	r.settings.Store(env)
	r.table.Store(routing.Compile(state.EmptyView().Config))
	r.revisions.Store(newModelRevisions(nil))
	r.warmupShares.Store(newWarmupShares(nil, self))
	r.placer = placement.NewPlacer(r.prefixes)
	r.placer.Configure(env.Placement)
	r.cursor = distribution.NewCursor(r.store)
	r.requests = requestlog.New(log, r.updatePosition)
	r.follower = distribution.NewFollower(distribution.FollowerOptions{
		Net:        r.peers,
		Sink:       r.cursor,
		Self:       rpc.Member{ID: xxhash.Sum64String(self) | 1, Address: self, Zone: env.Zone},
		NextParent: r.nextController,
		OnNearer:   r.followNearer,
		AckBody:    r.failureReports,
		OnMessage:  r.receiveLoadSums,
		Log:        log,
		Invariants: r.invariants,
	})
	r.budget = retrybudget.New(retrybudget.Options{
		Ratio:  env.Bounds.BudgetRatio,
		Slack:  env.Bounds.BudgetSlack,
		Window: durations.FromSeconds(env.Bounds.BudgetWindowS),
		Margin: retrybudget.Margin,
	}, controllerLender{r.follower}, r.fleetSize)
	r.longWork = longwork.New(ctx, longwork.Options{
		Log:    log,
		Router: longWorkRouter{r},
		Self:   self,
		Lines:  rpc.NewPool(ctx, r.peers, r.handle),
	})
	r.detector = r.newDetector(self)
	r.store.OnChange(r.handleChange)
	return r
}

// newDetector makes the detector that asks other routers whether they are there and reports those that are not to the
// controller.
func (r *Router) newDetector(self string) *failuredetector.Watcher {
	return failuredetector.New(failuredetector.Options{
		Log:      r.log,
		Self:     self,
		Interval: max(durations.FromMilliseconds(r.settings.Load().HeartbeatMs), distribution.HeartbeatInterval),
		Nodes:    func() []string { return r.store.View().Nodes },
		Ping:     r.newPing(rpc.NewPool(r.ctx, r.peers, r.handle), self),
		Report: func(node string, alive bool) {
			r.follower.Send(&rpc.Message{Kind: rpc.Suspect, OK: alive, Text: node})
		},
	})
}

// ownListeners are the addresses of a router.
type ownListeners struct {
	clients, readiness, statePage, peers *listen.Listener
}

// listen opens the addresses. The error names one that can never be listened at.
func (r *Router) listen() (*ownListeners, error) {
	env := r.settings.Load()
	own := &ownListeners{}
	for _, each := range []struct {
		purpose  string
		address  string
		network  rpc.Net
		listener **listen.Listener
	}{
		{"front address", env.Bind.Front, r.net, &own.clients},
		{"readiness address", env.Bind.Readiness, r.net, &own.readiness},
		{"state page", env.Port(settings.RouterStatePortOffset), r.net, &own.statePage},
		{"router port", env.Port(settings.RouterPortOffset), r.peers, &own.peers},
	} {
		opened, err := listen.Open(r.ctx, r.log, each.network, each.purpose, each.address)
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "listen")
		}
		*each.listener = opened
	}
	return own, nil
}

// reachable reports whether clients and other routers can connect to this process.
func (o *ownListeners) reachable() bool { return o.clients.IsBound() && o.peers.IsBound() }

// Run serves until the context ends. The error says which address can never be listened at.
func (r *Router) Run() error {
	env := r.settings.Load()
	own, err := r.listen()
	if err != nil {
		return err
	}
	r.listeners.Store(own)
	go rpc.Serve(r.ctx, own.peers, r.handle)
	r.server = frontend.New(r.ctx, r.log, own.clients, http.HandlerFunc(r.serve))
	r.server.SetLimits(r.table.Load().Limits)
	readinessServer := &http.Server{Handler: http.HandlerFunc(r.serveReadiness), ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
	stateServer := &http.Server{Handler: http.HandlerFunc(r.serveState), ReadHeaderTimeout: settings.HeaderTimeout}
	go func() { _ = readinessServer.Serve(own.readiness) }()
	go func() { _ = stateServer.Serve(own.statePage) }()
	go r.follower.Run(r.ctx)
	go r.detector.Run(r.ctx)
	go r.reportLoadSums()
	go r.maintain()
	go r.longWork.Run()
	go r.server.Run()
	metrics.ServePort(r.ctx, r.log, r.net, env, r.serveMetrics)
	close(r.serving)
	r.log.Info("router started", "part", "router", "node", env.NodeName)
	<-r.ctx.Done()
	_ = readinessServer.Close()
	_ = stateServer.Close()
	r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pool := range r.pools {
		pool.Close()
	}
	return nil
}

// Shutdown says not ready, goes on accepting until the platform has noticed, and returns when the requests in flight have
// ended, or the grace of the settings has.
func (r *Router) Shutdown() {
	grace := durations.FromSeconds(r.settings.Load().Bounds.GraceS)
	start := time.Now()
	r.endsAt.Store(start.Add(grace - shutdownMargin))
	r.draining.Store(true)
	r.longWork.Drain()
	wait.Sleep(r.ctx, min(readinessLinger, grace/2))
	select {
	case <-r.serving:
	default:
		return // Run has not come so far: no client was taken
	}
	r.server.Shutdown(grace - shutdownMargin - time.Since(start))
	r.longWork.Wait(grace - shutdownMargin - time.Since(start))
}

// Reload takes new settings. Addresses and bounds of the budget stay those of the start.
func (r *Router) Reload(env *settings.Settings) {
	r.settings.Store(env)
	r.placer.Configure(env.Placement)
	r.warmupShares.Store(newWarmupShares(r.store.View().Nodes, env.Port(settings.RouterPortOffset)))
}

// MaySend reports whether a replica may be sent to, as this process knows it now.
func (r *Router) MaySend(replica string) bool { return r.placer.Allowed(replica) }

// InForce returns the revision of the configuration and the zones under evacuation that are in force here.
func (r *Router) InForce() (revision int64, evacuated map[string]bool) {
	view := r.store.View()
	return view.Config.Revision, view.Evacuated
}

// Health returns the faults and ejections of replicas as this process sees them, by id.
func (r *Router) Health() map[string]outlier.ReplicaStats { return r.placer.Health().Stats(time.Now()) }
