package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/lease"
	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/listen"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// Options are what a controller is built from. All but Counters are needed.
type Options struct {
	Settings *settings.Settings
	Net      rpc.Net
	Store    replication.Store // the member's disk, or replication.NewNoDisk
	Counters CounterStore      // the disk for tallies; nil: none
}

// Controller is one control process. It is an [adminapi.ControlState], and a Daemon of package daemon. Its methods may be
// called by many goroutines.
type Controller struct {
	ctx      context.Context // ends the process's work; handlers and callbacks of the parts have no other
	log      *slog.Logger
	settings *settings.Settings // not changed after New
	net      rpc.Net            // for HTTP
	peers    rpc.Net            // for messages between processes, which traffic counts
	pool     *rpc.Pool          // channels to other members
	api      *adminapi.Handler  // of the operator
	tallies  *tallies           // nil: the deployment has none

	member       currentMember
	replicated   *state.Store  // configuration, evacuations, history; written by member alone
	running      chan struct{} // closed once Run takes part
	shuttingDown atomic.Bool

	updates      *state.Store // what followers get; written by feed alone
	feed         *distribution.Feed
	follower     *distribution.Follower              // of the primary, as a relay
	source       atomic.Pointer[distribution.Source] // nil while this process is not primary; written by member's callbacks
	primarySince atomic.Time                         // zero before the first time; written with source

	grantor   *lease.Grantor
	listLease *lease.Holder // its holder reads the platform's list and lends retries
	list      *replicaList

	fleet       *fleet
	reports     outlierReports
	evaluations evaluationPacer
	aggregator  *outlier.Aggregator // of the primary; emptied when it steps down
	loadSums    *loadsum.Sum        // of the own followers
	lender      *fairshare.Lender

	traffic    *rpc.Traffic
	invariants *invariant.Recorder
	answered   answeredRevision
}

// New builds a controller and reads the member's state from its store. The context ends all its work, and must end
// for Run to return. An error says that the stored state can't be read.
func New(ctx context.Context, log *slog.Logger, options Options) (*Controller, error) {
	env := options.Settings
	c := &Controller{
		ctx:        ctx,
		log:        log.With("part", "controller"),
		settings:   env,
		net:        options.Net,
		replicated: state.NewStore(state.Options{History: true}),
		updates:    state.NewStore(state.Options{}),
		grantor:    lease.NewGrantor(),
		list:       newReplicaList(log, discovery.NewReader(env.Cloud.Address, options.Net.Dial)),
		fleet:      newFleet(),
		aggregator: outlier.NewAggregator(),
		loadSums:   loadsum.NewSum(),
		lender:     newLender(env),
		running:    make(chan struct{}),
		invariants: newInvariants(log),
	}
	c.traffic = rpc.NewTraffic(env.Zone, rpc.TrafficOptions{ZoneOf: c.controllerZone, OnInvalid: c.logInvalidMessage})
	c.peers = c.traffic.Net(options.Net)
	c.pool = rpc.NewPool(ctx, c.peers, c.handle)
	c.feed = distribution.NewFeed(ctx, log, c.updates, func(distribution.Position) {
		if c.follower != nil {
			c.follower.ReportProgress()
		}
	})
	c.feed.RedirectNew(c.controllersOf)
	member, err := replication.New(log, c.replicationConfig(options.Store))
	if err != nil {
		return nil, err
	}
	c.member = currentMember{member}
	c.api = adminapi.New(ctx, log, c, c.makeTallies(options.Counters))
	c.follower = distribution.NewFollower(distribution.FollowerOptions{
		Net:          c.peers,
		Sink:         c.feed,
		Self:         member.Self(),
		NextParent:   c.primaryToFollow,
		EndFollowers: c.feed.EndFollowers,
		AckBody:      c.reports.take,
		OnMessage:    c.relayLoadSums,
		Log:          log,
		Invariants:   c.invariants,
	})
	c.listLease = lease.NewHolder(lease.HolderOptions{
		Duty:     "list",
		Self:     member.Self(),
		Caller:   c.pool,
		Grantors: c.member.Witnesses,
		Wanted:   c.wantsListLease,
		Local:    c.grantor,
	})
	c.replicated.OnChange(c.publishCommitted)
	c.logCollisions()
	return c, nil
}

// Run serves until the context ends. It begins to take part once it has its member port: others must reach a member that
// reaches them. An error says that an address can never be listened at.
func (c *Controller) Run() error {
	members, err := listen.Open(c.ctx, c.log, c.peers, "member port", c.settings.Port(settings.ControlPortOffset))
	if err != nil {
		return err
	}
	control, err := listen.Open(c.ctx, c.log, c.net, "control address", c.settings.Bind.Control)
	if err != nil {
		return err
	}
	pages, err := listen.Open(c.ctx, c.log, c.net, "state page", c.settings.Port(settings.ControlStatePortOffset))
	if err != nil {
		return err
	}
	go rpc.Serve(c.ctx, members, c.handle)
	select {
	case <-members.Bound():
	case <-c.ctx.Done():
		return nil
	}
	close(c.running)
	c.serve(control, pages)
	return nil
}

// serve runs all parts until the context ends.
func (c *Controller) serve(control, pages net.Listener) {
	api := httpServer(c.api)
	page := httpServer(http.HandlerFunc(c.serveStatePage))

	// Goroutines of work end at once with the context, or with Close below. The others end with the context too, but may
	// be in a write to a slow disk or in a last call to another machine: the process ends without waiting for that.
	var work sync.WaitGroup
	work.Go(func() { _ = api.Serve(control) })
	work.Go(func() { _ = page.Serve(pages) })
	go c.member.Run(c.ctx)
	go c.follower.Run(c.ctx)
	go c.listLease.Run(c.ctx)
	work.Go(c.readListWhileHeld)
	work.Go(func() {
		wait.Every(c.ctx, fleetPublishInterval, func() bool { c.publishFleet(); return true })
	})
	work.Go(func() {
		wait.Every(c.ctx, distribution.HeartbeatInterval, func() bool { c.publishSuspects(); return true })
	})
	work.Go(c.shareLoadSums)
	work.Go(c.watchPrimary)
	if c.tallies != nil {
		work.Go(c.tallies.run)
	}
	metrics.ServePort(c.ctx, c.log, c.net, c.settings, c.serveMetrics)
	c.log.Info("controller started", "node", c.settings.NodeName)
	<-c.ctx.Done()
	_ = api.Close()
	_ = page.Close()
	work.Wait()
}

func httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
}

// Shutdown releases the list lease and hands this member's roles over, for at most the grace that the settings give.
// The caller ends the context afterwards.
func (c *Controller) Shutdown() {
	select {
	case <-c.running:
	default:
		return // Run has not come so far: there is nothing to hand over
	}
	c.shuttingDown.Store(true)
	c.listLease.Renew() // releases the lease: wantsListLease is false now
	end := time.Now().Add(durations.FromSeconds(c.settings.Bounds.GraceS) - settings.GraceMargin)
	if c.tallies != nil {
		c.tallies.leave()
	}
	if !c.member.Leave(end) {
		c.log.Warn("shut down while still holding leases") // roles in the view, that is; the list lease was released
	}
}

// handle dispatches a message of another process. The result is the reply; nil if the message wants none, or if its
// part replies later by itself.
func (c *Controller) handle(channel *rpc.Channel, message *rpc.Message) *rpc.Message {
	if c.member.Handle(channel, message) {
		return nil
	}
	switch message.Kind {
	case rpc.Lease:
		return c.grantor.Handle(message)
	case rpc.Subscribe:
		c.feed.HandleSubscribe(channel, message)
	case rpc.UpdateAck:
		c.handleReports(message.From.Address, message.Body)
		c.feed.HandleAck(channel, message)
	case rpc.Suspect:
		c.handleSuspect(message)
	case rpc.Loan:
		return c.handleLoan(message)
	case rpc.List:
		return c.handleList(message)
	case rpc.Counters:
		if c.tallies != nil {
			return c.tallies.handle(message)
		}
	case rpc.LoadSums:
		c.loadSums.Put(message.From.ID, loadsum.Decode(message.Body), time.Now())
	}
	return nil
}

// Reload ignores the new settings: no part of a controller depends on those that may change while it runs.
func (c *Controller) Reload(*settings.Settings) {}

// View is the newest view of the replication known here; nil if none is.
func (c *Controller) View() *core.View { return c.member.View() }
