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
	ctx       context.Context
	log       *slog.Logger
	env       atomic.Pointer[settings.Settings]
	net       rpc.Net
	dialer    upstream.Dialer
	book      *state.Store
	cursor    *distribution.Cursor
	follower  *distribution.Follower
	front     *frontend.Server
	watcher   *failuredetector.Watcher
	level     *slowness.Monitor
	index     *prefixindex.Index
	yard      *placement.Placer
	budget    *Budget
	table     atomic.Pointer[routing.Table]
	weights   atomic.Pointer[weights]
	cold      atomic.Pointer[coldShares]
	ready     atomic.Bool
	isReady   chan struct{}
	leaving   atomic.Bool
	inflight  atomic.Int64
	bodies    *fairshare.Shares
	made      upstream.DialCounts
	count     counts
	mu        sync.Mutex
	pools     map[string]*upstream.Pool
	keeps     map[string]*upstream.KeepAlive // by service
	asking    map[string]chan struct{}       // services that a lump is being borrowed for
	refusedAt map[string]time.Time           // when none was lent, by service
	toldAt    time.Time                      // when failures were told last
	pickAt    int
	bad       map[string]time.Time // controllers and when they failed last
	dropped   string               // one that was left for a nearer one, not for failing
	long      *longWork
}

type counts struct {
	inquiries, refused, failed, further, resumed atomic.Int64
}

// New builds a router.
func New(ctx context.Context, log *slog.Logger, p Options) *Router {
	env := p.Settings
	self := env.Port(portGate)
	g := &Router{
		ctx:       ctx,
		log:       log,
		net:       p.Net,
		dialer:    p.Dialer,
		book:      state.NewStore(state.Options{Monotonic: true}),
		index:     prefixindex.NewIndex(),
		pools:     map[string]*upstream.Pool{},
		keeps:     map[string]*upstream.KeepAlive{},
		asking:    map[string]chan struct{}{},
		refusedAt: map[string]time.Time{},
		isReady:   make(chan struct{}),
		bad:       map[string]time.Time{},
	}
	g.env.Store(env)
	g.yard = placement.NewPlacer(g.index)
	g.yard.Configure(env.Placement)
	bounds := env.Bounds
	g.budget = NewBudget(bounds.BudgetRatio, bounds.BudgetSlack, durations.FromSeconds(bounds.BudgetWindowS), fairshare.BudgetMargin)
	bodyBytes := int64(env.Limits.MemoryMB * (1 << 20) * bodyMemory)
	g.bodies = fairshare.New(bodyBytes, fairshare.CalmFraction)
	g.table.Store(routing.Compile(state.EmptyView().Config))
	g.weights.Store(newWeights(nil))
	g.cold.Store(newColdShares(nil, self))
	g.cursor = distribution.NewCursor(g.book)
	seat := rpc.Member{ID: xxhash.Sum64String(self) | 1, Address: self, Zone: env.Zone}
	g.follower = distribution.NewFollower(distribution.FollowerOptions{
		Net:        p.Net,
		Sink:       g.cursor,
		Self:       seat,
		NextSource: g.pick,
		AckBody:    g.words,
		OnMessage:  g.hearDeck,
	})
	g.level = slowness.NewMonitor(log, p.SlownessProbe)
	g.long = newLongWork(g)
	g.watcher = g.newWatcher(self)
	g.book.OnChange(g.changed)
	return g
}

// newWatcher makes the detector that asks other routers whether they are there and tells control of those that are not.
func (g *Router) newWatcher(self string) *failuredetector.Watcher {
	every := max(durations.FromMilliseconds(g.env.Load().HeartbeatMs), distribution.HeartbeatInterval)
	nodes := func() []string { return g.book.View().Nodes }
	ping := g.pinger(rpc.NewPool(g.ctx, g.net, g.handle), self)
	tell := func(node string, alive bool) {
		g.follower.Send(&rpc.Message{Kind: rpc.Suspect, OK: alive, Text: node})
	}
	return failuredetector.New(failuredetector.Options{
		Log:      g.log,
		Self:     self,
		Interval: every,
		Nodes:    nodes,
		Ping:     ping,
		Report:   tell,
	})
}

// Run serves until the context ends.
func (g *Router) Run() error {
	e := g.env.Load()
	fl, err := g.net.Listen(e.Bind.Front)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "front address")
	}
	rl, err := g.net.Listen(e.Bind.Readiness)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "readiness address")
	}
	pl, err := g.net.Listen(e.Port(settings.RouterStatePort))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "state page")
	}
	cl, err := g.net.Listen(e.Port(portGate))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "crew port")
	}
	go rpc.Serve(g.ctx, cl, g.handle)
	g.front = frontend.New(g.ctx, g.log, fl, http.HandlerFunc(g.serve))
	g.front.SetLimits(g.table.Load().Limits)
	rs := &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
	ps := &http.Server{Handler: http.HandlerFunc(g.page), ReadHeaderTimeout: settings.HeaderTimeout}
	go func() { _ = rs.Serve(rl) }()
	go func() { _ = ps.Serve(pl) }()
	go g.follower.Run(g.ctx)
	go g.watcher.Run(g.ctx)
	go g.tellDeck()
	go g.keep()
	go g.long.run()
	go g.front.Run()
	g.log.Info("started", "part", "router", "node", e.NodeName)
	<-g.ctx.Done()
	_ = rs.Close()
	_ = ps.Close()
	g.front.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
	return nil
}

// Leave finishes what is held and returns when the process may end.
func (g *Router) Shutdown() {
	g.leaving.Store(true)
	g.long.leave()
	grace := durations.FromSeconds(g.env.Load().Bounds.GraceS)
	start := time.Now()
	linger := min(lingerReady, grace/2)
	wait.Sleep(g.ctx, linger)
	g.front.Shutdown(grace - settings.GraceMargin - time.Since(start))
	g.long.finish(grace - settings.GraceMargin - time.Since(start))
}

// Reload takes new settings.
func (g *Router) Reload(e *settings.Settings) {
	g.env.Store(e)
	g.yard.Configure(e.Placement)
	g.cold.Store(newColdShares(g.book.View().Nodes, e.Port(portGate)))
}

// MaySend tells whether a replica may be sent to, as this process knows it now.
func (g *Router) MaySend(replica string) bool { return g.yard.Allowed(replica) }

// InForce tells which configuration and which evacuations are in force here.
func (g *Router) InForce() (revision int64, evacuated map[string]bool) {
	v := g.book.View()
	return v.Config.Revision, v.Evacuated
}

// Health tells what is held against replicas here.
func (g *Router) Health() map[string]outlier.ReplicaStats { return g.yard.Health().Stats(time.Now()) }
