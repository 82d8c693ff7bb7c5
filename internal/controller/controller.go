// Package controller is the control plane: it puts the parts together.
package controller

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/failuredetector"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"

	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/lease"
	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// Plan is what a controller is built from.
type Options struct {
	Settings *settings.Settings
	Net      rpc.Net
	Store    replication.Store
}

// Controller is one control process.
type Controller struct {
	ctx      context.Context
	log      *slog.Logger
	settings *settings.Settings
	net      rpc.Net
	lines    *rpc.Pool

	state    *state.Store // the replicated state: configuration, evacuations, orders taken
	news     *state.Store // what followers are told: that and the replica list, the fleet, the members
	replica  replica
	feed     *distribution.Feed
	follower *distribution.Follower
	source   atomic.Pointer[distribution.Source] // nil while this process is not primary
	leaving  atomic.Bool

	officeFrom atomic.Int64 // when this process became primary after it was not

	grantor *lease.Grantor
	duty    *lease.Holder // of reading the platform's list
	reader  *discovery.Reader
	differ  *discovery.Differ
	polling sync.Mutex
	polls   atomic.Int64
	fails   atomic.Int64

	lender *fairshare.Lender
	jury   *outlier.Aggregator
	deck   *loadsum.Sum

	mu     sync.Mutex
	judged time.Time            // when reports on replicas were last weighed
	words  []outlier.Report     // followers' reports on their way to the primary
	fleet  map[string]time.Time // routers, and when they were last reached
	most   int                  // the largest fleet of late
	mostAt time.Time
}

// New builds a controller.
func New(ctx context.Context, log *slog.Logger, p Options) (*Controller, error) {
	c := &Controller{
		ctx:      ctx,
		log:      log,
		settings: p.Settings,
		net:      p.Net,
		state:    state.NewStore(state.Options{History: true}),
		news:     state.NewStore(state.Options{}),
		grantor:  lease.NewGrantor(),
		reader:   discovery.NewReader(p.Settings.Cloud.Address, p.Net.Dial),
		differ:   discovery.NewDiffer(),
		lender:   newLender(p.Settings),
		jury:     outlier.NewAggregator(),
		deck:     loadsum.NewSum(),
		fleet:    map[string]time.Time{},
	}
	c.lines = rpc.NewPool(ctx, p.Net, c.handle)
	c.feed = distribution.NewFeed(ctx, log, c.news, func(distribution.Position) {
		if c.follower != nil {
			c.follower.ReportProgress()
		}
	})
	member, err := replication.New(ctx, log, c.replicationConfig(p.Store))
	if err != nil {
		return nil, err
	}
	c.replica = currentMember{member}
	c.follower = distribution.NewFollower(distribution.FollowerOptions{
		Net:          p.Net,
		Sink:         c.feed,
		Self:         member.Self(),
		NextSource:   c.upstream,
		EndFollowers: c.feed.EndFollowers,
		AckBody:      c.carry,
		OnMessage:    c.spread,
	})
	c.duty = lease.NewHolder(lease.HolderOptions{
		Duty:     "list",
		Self:     member.Self(),
		Caller:   c.lines,
		Grantors: c.witnesses,
		Wanted:   c.wantsDuty,
		Local:    c.grantor,
	})
	c.state.OnChange(c.committed)
	return c, nil
}

func newLender(env *settings.Settings) *fairshare.Lender {
	pot := fairshare.BudgetMargin * fairshare.LentFraction * env.Bounds.BudgetSlack
	window := durations.FromSeconds(env.Bounds.BudgetWindowS) + fairshare.LoanLifetime
	return fairshare.NewLender(int64(pot), window)
}

// replicationConfig tells what the settings want to be borne.
func (c *Controller) replicationConfig(store replication.Store) replication.Config {
	env := c.settings
	losses, ok := env.Losses()
	if !ok {
		c.log.With("part", "controller").Warn("the settings' losses can't all be borne in these zones", "zones", len(env.Zones), "borne", losses)
	}
	areas := env.Tolerance.Zones
	area := func(zone string) string { return zone }
	if env.Tolerance.Regions > 0 {
		areas = env.Tolerance.Regions
		area = func(zone string) string { return env.Zones[zone] }
	}
	return replication.Config{
		Address:           env.Port(settings.ControlPort),
		Zone:              env.Zone,
		Seeds:             env.SeedMembers(),
		MaxFailures:       losses,
		MaxDomainFailures: areas,
		FailureDomain:     area,
		Relay:             !env.HasDisk(),
		Store:             store,
		StateMachine:      c.state,
		Transport:         replication.NewLinks(c.lines),
		OnBecomePrimary:   c.begin,
		OnStepDown:        c.idle,
	}
}

// Run serves until the context ends.
func (c *Controller) Run() error {
	members, err := c.net.Listen(c.settings.Port(settings.ControlPort))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "member port")
	}
	control, err := c.net.Listen(c.settings.Bind.Control)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "control address")
	}
	pages, err := c.net.Listen(c.settings.Port(settings.ControlStatePort))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "state page")
	}
	go rpc.Serve(c.ctx, members, c.handle)
	api := httpServer(adminapi.New(c.ctx, c.log, c))
	page := httpServer(http.HandlerFunc(c.page))
	go func() { _ = api.Serve(control) }()
	go func() { _ = page.Serve(pages) }()
	c.startDuties()
	c.log.Info("started", "part", "controller", "node", c.settings.NodeName)
	<-c.ctx.Done()
	_ = api.Close()
	_ = page.Close()
	return nil
}

func httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
}

func (c *Controller) startDuties() {
	go c.replica.Run()
	go c.follower.Run(c.ctx)
	go c.duty.Run(c.ctx)
	go c.read()
	go wait.Every(c.ctx, failuredetector.ReportInterval, func() bool { c.count(); return true })
	go wait.Every(c.ctx, distribution.HeartbeatInterval, func() bool { c.judge(); return true })
	go c.addUp()
}

// Leave hands duty and primacy over; the program ends the context afterwards.
func (c *Controller) Shutdown() {
	c.leaving.Store(true)
	c.duty.Renew() // it is not wanted any more: given back
	grace := durations.FromSeconds(c.settings.Bounds.GraceS) - settings.GraceMargin
	if !c.replica.Leave(time.Now().Add(grace)) {
		c.log.Warn("left with roles that nobody else has taken", "part", "controller")
	}
}

// handle takes the messages of other processes.
func (c *Controller) handle(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
	if c.replica.Handle(ch, n) {
		return nil
	}
	switch n.Kind {
	case rpc.Lease:
		return c.grantor.Handle(n)
	case rpc.Subscribe:
		c.feed.HandleSubscribe(ch, n)
	case rpc.UpdateAck:
		c.hear(n.Body)
		c.feed.HandleAck(ch, n)
	case rpc.Suspect:
		c.suspect(n)
	case rpc.Loan:
		return c.lend(n)
	case rpc.LoadSums:
		c.deck.Put(n.From.ID, loadsum.Decode(n.Body), time.Now())
	}
	return nil
}

func (c *Controller) witnesses() []rpc.Member { return c.replica.Witnesses() }

// upstream is whom this process follows as a relay: the primary.
func (c *Controller) upstream(string) string {
	primary, known := c.replica.Primary()
	if !known || primary.ID == c.replica.Self().ID {
		return ""
	}
	return primary.Address
}

// Reload takes new settings: nothing that this process holds depends on those that may change while it runs.
func (c *Controller) Reload(*settings.Settings) {}

// View is the newest view of the replication known here.
func (c *Controller) View() *core.View { return c.replica.View() }
