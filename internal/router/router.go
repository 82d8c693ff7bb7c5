// Package router is the traffic plane: it puts the parts together and carries inquiries to replicas.
package router

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/failuredetector"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/slowness"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/retrybudget"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// Options is what a router is built from.
type Options struct {
	Settings      *settings.Settings
	Net           rpc.Net
	Dialer        upstream.Dialer
	SlownessProbe func() time.Duration // does and times the piece of work that shows a slow machine; nil for the usual one
}

// Router is one traffic process.
type Router struct {
	ctx                context.Context
	log                *slog.Logger
	settings           atomic.Pointer[settings.Settings]
	net                rpc.Net
	dialer             upstream.Dialer
	store              *state.Store
	cursor             *distribution.Cursor
	follower           *distribution.Follower
	server             *frontend.Server
	detector           *failuredetector.Watcher
	machine            *slowness.Monitor
	prefixes           *prefixindex.Index
	placer             *placement.Placer
	budget             *retrybudget.Budget
	table              atomic.Pointer[routing.Table]
	revisions          atomic.Pointer[modelRevisions]
	coldShares         atomic.Pointer[coldStartShares]
	ready              atomic.Bool
	becameReady        chan struct{}
	leaving            atomic.Bool
	inflight           atomic.Int64
	bodies             *fairshare.Shares
	dialCounts         upstream.DialCounts
	counts             counts
	mu                 sync.Mutex
	pools              map[string]*upstream.Pool
	keepAlives         map[string]*upstream.KeepAlive // by service
	reportedAt         time.Time                      // when failures were told last
	controllerIndex    int
	controllerFailedAt map[string]time.Time // controllers and when they failed last
	leftController     string               // one that was left for a nearer one, not for failing
	longWork           *longWork
}

type counts struct {
	requests, rejected, failed, retries, resumed atomic.Int64
}

// New builds a router.
func New(ctx context.Context, log *slog.Logger, p Options) *Router {
	env := p.Settings
	self := env.Port(routerPort)
	g := &Router{
		ctx:                ctx,
		log:                log,
		net:                p.Net,
		dialer:             p.Dialer,
		store:              state.NewStore(state.Options{Monotonic: true}),
		prefixes:           prefixindex.NewIndex(),
		pools:              map[string]*upstream.Pool{},
		keepAlives:         map[string]*upstream.KeepAlive{},
		becameReady:        make(chan struct{}),
		controllerFailedAt: map[string]time.Time{},
	}
	g.settings.Store(env)
	g.placer = placement.NewPlacer(g.prefixes)
	g.placer.Configure(env.Placement)
	bodyBytes := int64(env.Limits.MemoryMB * (1 << 20) * bodyMemoryFraction)
	g.bodies = fairshare.New(bodyBytes, fairshare.CalmFraction)
	g.table.Store(routing.Compile(state.EmptyView().Config))
	g.revisions.Store(newModelRevisions(nil))
	g.coldShares.Store(newColdStartShares(nil, self))
	g.cursor = distribution.NewCursor(g.store)
	seat := rpc.Member{ID: xxhash.Sum64String(self) | 1, Address: self, Zone: env.Zone}
	g.follower = distribution.NewFollower(distribution.FollowerOptions{
		Net:        p.Net,
		Sink:       g.cursor,
		Self:       seat,
		NextSource: g.pickController,
		AckBody:    g.reports,
		OnMessage:  g.receiveLoadSums,
	})
	g.budget = retrybudget.New(retrybudget.Options{
		Ratio:  env.Bounds.BudgetRatio,
		Slack:  env.Bounds.BudgetSlack,
		Window: durations.FromSeconds(env.Bounds.BudgetWindowS),
		Margin: fairshare.BudgetMargin,
	}, controllerLender{g.follower}, g.fleetSize)
	g.machine = slowness.NewMonitor(log, p.SlownessProbe)
	g.longWork = newLongWork(g)
	g.detector = g.newDetector(self)
	g.store.OnChange(g.handleChange)
	return g
}

// newDetector makes the detector that asks other routers whether they are there and tells control of those that are not.
func (r *Router) newDetector(self string) *failuredetector.Watcher {
	every := max(durations.FromMilliseconds(r.settings.Load().HeartbeatMs), distribution.HeartbeatInterval)
	nodes := func() []string { return r.store.View().Nodes }
	ping := r.newPing(rpc.NewPool(r.ctx, r.net, r.handle), self)
	tell := func(node string, alive bool) {
		r.follower.Send(&rpc.Message{Kind: rpc.Suspect, OK: alive, Text: node})
	}
	return failuredetector.New(failuredetector.Options{
		Log:      r.log,
		Self:     self,
		Interval: every,
		Nodes:    nodes,
		Ping:     ping,
		Report:   tell,
	})
}

// Run serves until the context ends.
func (r *Router) Run() error {
	e := r.settings.Load()
	fl, err := r.net.Listen(e.Bind.Front)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "front address")
	}
	rl, err := r.net.Listen(e.Bind.Readiness)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "readiness address")
	}
	pl, err := r.net.Listen(e.Port(settings.RouterStatePortOffset))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "state page")
	}
	cl, err := r.net.Listen(e.Port(routerPort))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "crew port")
	}
	go rpc.Serve(r.ctx, cl, r.handle)
	r.server = frontend.New(r.ctx, r.log, fl, http.HandlerFunc(r.serve))
	r.server.SetLimits(r.table.Load().Limits)
	rs := &http.Server{Handler: http.HandlerFunc(r.serveReadiness), ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
	ps := &http.Server{Handler: http.HandlerFunc(r.serveState), ReadHeaderTimeout: settings.HeaderTimeout}
	go func() { _ = rs.Serve(rl) }()
	go func() { _ = ps.Serve(pl) }()
	go r.follower.Run(r.ctx)
	go r.detector.Run(r.ctx)
	go r.sendLoadSums()
	go r.maintain()
	go r.longWork.run()
	go r.server.Run()
	r.log.Info("started", "part", "router", "node", e.NodeName)
	<-r.ctx.Done()
	_ = rs.Close()
	_ = ps.Close()
	r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.Close()
	}
	return nil
}

// Leave finishes what is held and returns when the process may end.
func (r *Router) Shutdown() {
	r.leaving.Store(true)
	r.longWork.drain()
	grace := durations.FromSeconds(r.settings.Load().Bounds.GraceS)
	start := time.Now()
	linger := min(readinessLinger, grace/2)
	wait.Sleep(r.ctx, linger)
	r.server.Shutdown(grace - settings.GraceMargin - time.Since(start))
	r.longWork.wait(grace - settings.GraceMargin - time.Since(start))
}

// Reload takes new settings.
func (r *Router) Reload(e *settings.Settings) {
	r.settings.Store(e)
	r.placer.Configure(e.Placement)
	r.coldShares.Store(newColdStartShares(r.store.View().Nodes, e.Port(routerPort)))
}

// MaySend tells whether a replica may be sent to, as this process knows it now.
func (r *Router) MaySend(replica string) bool { return r.placer.Allowed(replica) }

// InForce tells which configuration and which evacuations are in force here.
func (r *Router) InForce() (revision int64, evacuated map[string]bool) {
	v := r.store.View()
	return v.Config.Revision, v.Evacuated
}

// Health tells what is held against replicas here.
func (r *Router) Health() map[string]outlier.ReplicaStats { return r.placer.Health().Stats(time.Now()) }
