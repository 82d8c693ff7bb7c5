// Package controller is the control plane: it puts the parts together.
package controller

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"sync"

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
	"shaletrestle/internal/calendar"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/config"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// Plan is what a controller is built from.
type Plan struct {
	Env   *settings.Env
	Net   rpc.Net
	Store replication.Store
}

// House is one control process.
type House struct {
	sc       *task.Scope
	env      *settings.Env
	net      rpc.Net
	state    *state.Book
	news     *state.Book
	member   *replication.Member
	grantor  *lease.Grantor
	duty     *lease.Holder
	feed     *distribution.Feed
	follower *distribution.Follower
	reader   *discovery.Reader
	differ   *discovery.Differ
	lines    *rpc.Lines
	lender   *fairshare.Lender
	jury     *outlier.Jury
	deck     *loadsum.Sum
	judged   clock.Moment   // when the words were last weighed
	words    []outlier.Word // of followers, on their way to the primary
	live     atomic.Bool
	polls    atomic.Int64
	fails    atomic.Int64
	polling  sync.Mutex
	mu       sync.Mutex
	fleet    map[string]clock.Moment
	most     int // the largest fleet of late
	mostAt   clock.Moment
}

// New builds a controller.
func New(sc *task.Scope, p Plan) (*House, error) {
	h := &House{sc: sc, env: p.Env, net: p.Net, state: state.NewBook(false), news: state.NewBook(false), grantor: lease.NewGrantor(),
		differ: discovery.NewDiffer(), fleet: map[string]clock.Moment{}}
	lines := rpc.NewLines(sc, p.Net, h.handle)
	losses, ok := p.Env.Losses()
	if !ok {
		sc.Part("controller").Log().Warn("the settings' losses can't all be borne in these zones", "zones", len(p.Env.Zones), "borne", losses)
	}
	b := p.Env.Bounds
	h.lines, h.jury, h.deck = lines, outlier.NewJury(), loadsum.NewSum()
	h.lender = fairshare.NewLender(int64(constants.BudgetMargin*constants.BudgetPot*b.BudgetSlack), clock.Seconds(b.BudgetWindowS)+constants.LumpSpan)
	areas, area := p.Env.Tolerance.Zones, func(zone string) string { return zone }
	if p.Env.Tolerance.Regions > 0 {
		areas, area = p.Env.Tolerance.Regions, func(zone string) string { return p.Env.Zones[zone] }
	}
	m, err := replication.New(sc, replication.Config{
		Address:   p.Env.Port(constants.PortTally),
		Zone:      p.Env.Locality,
		Seeds:     p.Env.SeedCrew(),
		Losses:    losses,
		Areas:     areas,
		Area:      area,
		Relay:     !p.Env.Keeps(),
		Store:     p.Store,
		Machine:   h.state,
		Transport: replication.NewLinks(lines),
		OnActive:  h.begin,
		OnIdle:    h.idle,
	})
	if err != nil {
		return nil, err
	}
	h.member = m
	h.reader = discovery.NewReader(p.Env.Cloud.Address, p.Net.Dial)
	h.feed = distribution.NewFeed(sc, h.news, func(uint64, uint64) {
		if h.follower != nil {
			h.follower.Tell()
		}
	})
	h.follower = distribution.NewFollower(sc, p.Net, h.feed, m.Self(), true, h.upstream, h.feed.Reached)
	h.follower.Carry(h.carry)
	h.follower.Others(h.spread)
	h.duty = lease.NewHolder(sc, "list", m.Self(), lines, h.witnesses, h.live.Load, h.grantor)
	h.state.Watch(func(_, _ *state.View, e *state.Event) {
		if e != nil && h.live.Load() {
			h.feed.Push(e.Encode())
		}
	})
	return h, nil
}

// Run serves until the scope ends.
func (h *House) Run() error {
	ln, err := h.net.Listen(h.env.Port(constants.PortTally))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "crew port")
	}
	cl, err := h.net.Listen(h.env.Bind.Control)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "control address")
	}
	pl, err := h.net.Listen(h.env.Port(constants.PortTallyPage))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "state page")
	}
	go rpc.Serve(h.sc, ln, h.handle)
	srv := &http.Server{Handler: adminapi.New(h.sc, h), ReadHeaderTimeout: constants.HeadWait, IdleTimeout: constants.IdleWait}
	page := &http.Server{Handler: http.HandlerFunc(h.page), ReadHeaderTimeout: constants.HeadWait}
	go func() { _ = srv.Serve(cl) }()
	go func() { _ = page.Serve(pl) }()
	go h.member.Run()
	go h.follower.Run()
	go h.duty.Run()
	go h.read()
	go clock.Every(h.sc, constants.FleetEvery, func() bool { h.count(); return true })
	go clock.Every(h.sc, constants.NewsBeat, func() bool { h.judge(); return true })
	go h.addUp()
	h.sc.Log().Info("started", "part", "controller", "node", h.env.NodeName)
	<-h.sc.Done()
	_ = srv.Close()
	_ = page.Close()
	return nil
}

// Leave hands duty and primacy over; the program ends the scope afterwards.
func (h *House) Leave() {
	h.live.Store(false)
	h.duty.Renew()
	grace := clock.Seconds(h.env.Bounds.GraceS) - constants.GraceMargin
	h.member.Leave(clock.Now().Add(grace))
}

func (h *House) handle(ch *rpc.Channel, n *rpc.Note) *rpc.Note {
	if h.member.Handle(ch, n) {
		return nil
	}
	switch n.Kind {
	case rpc.Lease:
		return h.grantor.Handle(n)
	case rpc.Follow:
		h.feed.Follow(ch, n)
	case rpc.Heard:
		h.hear(n.Body)
		h.feed.Ack(ch, n)
	case rpc.Suspect:
		h.suspect(n)
	case rpc.Lend:
		return h.lend(n)
	case rpc.Deck:
		h.deck.Put(n.From.ID, loadsum.Decode(n.Body), clock.Now())
	}
	return nil
}

func (h *House) witnesses() []rpc.Seat {
	return h.member.Witnesses()
}

func (h *House) upstream(string) string {
	s, ok := h.member.Primary()
	if !ok || s.ID == h.member.Self().ID {
		return ""
	}
	return s.Addr
}

// begin makes this process the source of the news: orders from its own state, the rest from what it has heard.
func (h *House) begin(epoch uint64) {
	h.live.Store(false)
	h.follower.Drop()
	v, old := *h.state.View(), h.news.View()
	v.Replicas, v.Listed, v.Fleet, v.Nodes, v.Houses = old.Replicas, old.Listed, old.Fleet, old.Nodes, old.Houses
	_ = h.news.Restore(v.Encode())
	h.feed.Begin(epoch)
	h.live.Store(true)
	go h.poll(true) // once, without the lease: that one settles who reads again and again
}

func (h *House) idle() {
	h.live.Store(false)
	h.feed.End()
	h.jury.Clear()
}

// Primary names who answers orders.
func (h *House) Primary() (string, bool) {
	s, ok := h.member.Primary()
	if !ok {
		return "", false
	}
	return h.env.ControlAddr(s.Addr), s.ID == h.member.Self().ID
}

// Take makes one order.
func (h *House) Take(sc *task.Scope, o *adminapi.Order) error {
	e := &state.Event{Kind: o.Kind, Base: o.Base, Body: o.Body, Locality: o.Locality}
	deadline := clock.Now().Add(constants.OrderWait)
	err := h.member.Propose(deadline, func() ([]byte, error) { return h.check(e) })
	if err != nil {
		return err
	}
	if _, n := h.feed.At(); n > 0 {
		h.feed.Wait(sc, n, constants.AckWait)
	}
	return nil
}

// check holds an order against the state as it is; a nil entry means that it is in force already.
func (h *House) check(e *state.Event) ([]byte, error) {
	v := h.state.View()
	if e.Kind == state.Evacuate || e.Kind == state.Return {
		if v.Evac[e.Locality] == (e.Kind == state.Evacuate) {
			return nil, nil
		}
		return e.Encode(), nil
	}
	if v.Taken(config.Digest(e.Kind, e.Base, e.Body)) {
		return nil, nil
	}
	if e.Base != v.Doc.Epoch {
		return nil, errkind.New(errkind.Stale, "version %d is current", v.Doc.Epoch)
	}
	if _, err := v.Next(e); err != nil {
		return nil, err
	}
	return e.Encode(), nil
}

// Read gives the newest view once most witnesses have confirmed that this is still the primary.
func (h *House) Read(*task.Scope) (*state.View, error) {
	var view *state.View
	err := h.member.Read(clock.Now().Add(constants.OrderWait), func() { view = h.state.View() })
	if err != nil {
		return nil, err
	}
	return view, nil
}

// read does the duty of reading the list: at once when the lease comes, then again and again.
func (h *House) read() {
	for !h.sc.Ended() {
		pause := constants.LeaseAgain
		if h.live.Load() && (h.duty.Held() || h.duty.Renew()) {
			h.poll(false)
			pause = constants.ListEvery
		}
		if !clock.Rest(h.sc, pause) {
			return
		}
	}
}

// poll reads the platform's list if the lease for it is held; the first time of a view it needs none.
func (h *House) poll(first bool) {
	may := func() bool { return h.live.Load() && (first || h.duty.Held()) }
	if !may() {
		return
	}
	h.polls.Inc()
	now, err := h.reader.Read(h.sc)
	if err != nil {
		if h.fails.Inc()%16 == 1 {
			h.sc.Log().Warn("list not read", "part", "discovery", "err", err.Error())
		}
		return
	}
	h.polling.Lock()
	defer h.polling.Unlock()
	if !may() {
		return
	}
	v := h.news.View()
	if e := h.differ.Diff(v.Replicas, v.Listed, now); e != nil {
		h.feed.Push(e.Encode())
	}
}

// hear takes what followers tell of replicas: the primary judges, others pass it on with their own acknowledgement.
func (h *House) hear(body []byte) {
	var ws []outlier.Word
	if len(body) == 0 || json.Unmarshal(body, &ws) != nil {
		return
	}
	if h.live.Load() {
		rs := h.news.View().Replicas
		h.jury.Hear(ws, func(id string) string {
			if r := rs[id]; r != nil {
				return r.Pool
			}
			return ""
		}, clock.Now())
		h.judge()
		return
	}
	h.mu.Lock()
	h.words = append(h.words, ws...)
	h.words = h.words[max(0, len(h.words)-constants.WordsHeld):]
	h.mu.Unlock()
}

func (h *House) carry() []byte {
	h.mu.Lock()
	ws := h.words
	h.words = nil
	h.mu.Unlock()
	if len(ws) == 0 {
		return nil
	}
	b, _ := json.Marshal(ws)
	return b
}

// judge tells the fleet which replicas its experience makes suspect, when that changed or runs out, at most once a beat.
func (h *House) judge() {
	now := clock.Now()
	h.mu.Lock()
	due := now.Sub(h.judged) >= constants.NewsBeat
	if due {
		h.judged = now
	}
	h.mu.Unlock()
	if !due || !h.live.Load() {
		return
	}
	size := map[string]int{}
	for _, r := range h.news.View().Replicas {
		size[r.Pool]++
	}
	if ids, news := h.jury.Verdict(size, now); news {
		h.feed.Push((&state.Event{Kind: state.Health, Suspects: ids}).Encode())
	}
}

// lend gives further tries out of the common part of a service's budget. Only the holder of the list duty lends, of which there is one at a time; others ask it once.
func (h *House) lend(n *rpc.Note) *rpc.Note {
	if n.Call == 0 {
		return nil
	}
	if !h.live.Load() {
		s, ok := h.member.Primary()
		if !ok || n.OK || s.ID == h.member.Self().ID {
			return n.Reply(false)
		}
		a, err := h.lines.Call(s.Addr, &rpc.Note{Kind: rpc.Lend, OK: true, Word: n.Word, Number: n.Number}, constants.LumpWait)
		if err != nil {
			return n.Reply(false)
		}
		return a
	}
	since, held := h.duty.Since()
	if !held {
		return n.Reply(false)
	}
	a := n.Reply(true)
	a.Number = uint64(h.lender.Lend(n.Word, int64(min(n.Number, constants.LumpTries)), since, clock.Now()))
	return a
}

// count tells the fleet its size and where the control members are.
func (h *House) count() {
	if !h.live.Load() {
		return
	}
	now := clock.Now()
	h.mu.Lock()
	for _, s := range h.feed.Reached() {
		h.fleet[s.Addr] = now
	}
	var nodes []string
	for a, at := range h.fleet {
		if now.Sub(at) > constants.FleetForget {
			delete(h.fleet, a)
			continue
		}
		nodes = append(nodes, a)
	}
	if len(nodes) >= h.most || now.Sub(h.mostAt) > constants.FleetForget {
		h.most, h.mostAt = len(nodes), now
	}
	h.mu.Unlock()
	sort.Strings(nodes)
	v := h.news.View()
	if !slices.Equal(nodes, v.Nodes) && len(nodes) > 0 {
		h.feed.Push(state.FleetEvent(v.Nodes, nodes).Encode())
	}
	var hs []state.House
	for _, s := range h.member.Members() {
		hs = append(hs, state.House{Addr: s.Addr, Locality: s.Locality})
	}
	if !slices.Equal(hs, v.Houses) {
		h.feed.Push((&state.Event{Kind: state.Houses, Houses: hs}).Encode())
	}
}

// suspect hears from watchers that a router does not answer. The primary takes it out of the fleet size if it isn't reached any more, at most a part of the fleet at a time: one that still runs keeps using its old share.
func (h *House) suspect(n *rpc.Note) {
	if !h.live.Load() {
		h.follower.Send(n)
		return
	}
	if n.OK {
		return
	}
	for _, s := range h.feed.Reached() {
		if s.Addr == n.Word {
			return
		}
	}
	h.mu.Lock()
	_, known := h.fleet[n.Word]
	if known && len(h.fleet)-1 >= h.most-h.most/constants.SuspectPart {
		delete(h.fleet, n.Word)
		h.sc.Log().Info("suspected node leaves the fleet size", "part", "failuredetector", "node", n.Word)
	}
	h.mu.Unlock()
}

// maintenance lists the windows open now, or what is wrong with the calendar; nothing unless one is set.
func (h *House) maintenance() any {
	if h.env.Calendar == "" {
		return nil
	}
	ws, err := calendar.Read(h.env.Calendar, h.env.Zones)
	if err != nil {
		return map[string]string{"ignored": err.Error()}
	}
	return calendar.At(ws, clock.Wall())
}

// page is the state page: all of it, or at /fleet the view of the fleet that the checker reads.
func (h *House) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == metrics.Path {
		metrics.Serve(w, h.figures())
		return
	}
	if r.URL.Path == "/fleet" {
		v := *h.news.View()
		if _, primary := h.member.Active(); primary {
			o := h.state.View()
			v.Doc, v.Evac = o.Doc, o.Evac
		}
		v.Digests = nil
		httpreply.Bytes(w, http.StatusOK, v.Encode())
		return
	}
	ep, num := h.feed.At()
	v := h.news.View()
	httpreply.JSON(w, http.StatusOK, map[string]any{
		"maintenance": h.maintenance(),
		"program":     "controller", "version": constants.Version, "node": h.env.NodeName, "tally": h.member.State(),
		"news":           map[string]any{"epoch": ep, "number": num, "acked": h.feed.Acked(), "source": h.follower.Source(), "live": h.live.Load()},
		"setup_revision": h.state.View().Doc.Epoch, "evacuated": h.state.View().Evac, "replicas": len(v.Replicas), "fleet": v.Fleet,
		"list_duty": h.duty.Held(), "suspects": h.jury.Told(), "list_calls": h.polls.Load(), "list_failures": h.fails.Load(),
	})
}

// Reload takes new settings: nothing that this process holds depends on those that may change while it runs.
func (h *House) Reload(*settings.Env) {}

// Acting tells whether this process is primary and tells the news.
func (h *House) Acting() bool { return h.live.Load() }

// View is the newest view of the replication known here.
func (h *House) View() *core.View { return h.member.View() }
