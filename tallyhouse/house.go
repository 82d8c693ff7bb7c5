// Package tallyhouse is the control plane: it puts the parts together.
package tallyhouse

import (
	"net/http"
	"sort"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/calendar"
	"shaletrestle/crew"
	"shaletrestle/env"
	"shaletrestle/fault"
	"shaletrestle/foreman"
	"shaletrestle/haul"
	"shaletrestle/logbook"
	"shaletrestle/meter"
	"shaletrestle/plate"
	"shaletrestle/reply"
	"shaletrestle/roster"
	"shaletrestle/rota"
	"shaletrestle/scope"
	"shaletrestle/setup"
	"shaletrestle/tally"
	"shaletrestle/tick"
)

// Plan is what a tallyhouse is built from.
type Plan struct {
	Env   *env.Env
	Net   crew.Net
	Store tally.Store
}

// House is one control process.
type House struct {
	sc       *scope.Scope
	env      *env.Env
	net      crew.Net
	state    *logbook.Book
	news     *logbook.Book
	member   *tally.Member
	grantor  *rota.Grantor
	duty     *rota.Holder
	feed     *haul.Feed
	follower *haul.Follower
	reader   *roster.Reader
	differ   *roster.Differ
	live     atomic.Bool
	polls    atomic.Int64
	fails    atomic.Int64
	polling  sync.Mutex
	mu       sync.Mutex
	fleet    map[string]tick.Moment
	most     int // the largest fleet of late
	mostAt   tick.Moment
}

// New builds a tallyhouse.
func New(sc *scope.Scope, p Plan) (*House, error) {
	h := &House{sc: sc, env: p.Env, net: p.Net, state: logbook.NewBook(false), news: logbook.NewBook(false), grantor: rota.NewGrantor(),
		differ: roster.NewDiffer(), fleet: map[string]tick.Moment{}}
	lines := crew.NewLines(sc, p.Net, h.handle)
	m, err := tally.New(sc, tally.Config{
		Addr: p.Env.Port(plate.PortTally), Locality: p.Env.Locality, Seeds: p.Env.SeedCrew(), Solo: p.Env.Tolerance.Machines == 0,
		Store: p.Store, Machine: h.state, Caller: lines, OnActive: h.begin, OnIdle: h.idle,
	})
	if err != nil {
		return nil, err
	}
	h.member = m
	h.reader = roster.NewReader(p.Env.Cloud.Address, p.Net.Dial)
	h.feed = haul.NewFeed(sc, h.news, func(uint64, uint64) {
		if h.follower != nil {
			h.follower.Tell()
		}
	})
	h.follower = haul.NewFollower(sc, p.Net, h.feed, m.Self(), true, h.upstream, h.feed.Reached)
	h.duty = rota.NewHolder(sc, "list", m.Self(), lines, h.witnesses, h.live.Load, h.grantor)
	h.state.Watch(func(_, _ *logbook.View, e *logbook.Event) {
		if e != nil && h.live.Load() {
			h.feed.Push(e.Encode())
		}
	})
	return h, nil
}

// Run serves until the scope ends.
func (h *House) Run() error {
	ln, err := h.net.Listen(h.env.Port(plate.PortTally))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "crew port")
	}
	cl, err := h.net.Listen(h.env.Bind.Control)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "control address")
	}
	pl, err := h.net.Listen(h.env.Port(plate.PortTallyPage))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "state page")
	}
	go crew.Serve(h.sc, ln, h.handle)
	srv := &http.Server{Handler: foreman.New(h.sc, h), ReadHeaderTimeout: plate.HeadWait, IdleTimeout: plate.IdleWait}
	page := &http.Server{Handler: http.HandlerFunc(h.page), ReadHeaderTimeout: plate.HeadWait}
	go func() { _ = srv.Serve(cl) }()
	go func() { _ = page.Serve(pl) }()
	go h.member.Run()
	go h.follower.Run()
	go h.duty.Run()
	go h.read()
	go tick.Every(h.sc, plate.FleetEvery, func() bool { h.count(); return true })
	h.sc.Log().Info("started", "part", "tallyhouse", "node", h.env.NodeName)
	<-h.sc.Done()
	_ = srv.Close()
	_ = page.Close()
	return nil
}

// Leave hands duty and primacy over; the program ends the scope afterwards.
func (h *House) Leave() {
	h.live.Store(false)
	h.duty.Renew()
	h.member.Leave()
}

func (h *House) handle(ch *crew.Channel, n *crew.Note) *crew.Note {
	if a, ok := h.member.Handle(n); ok {
		return a
	}
	switch n.Kind {
	case crew.Lease:
		return h.grantor.Handle(n)
	case crew.Follow:
		h.feed.Follow(ch, n)
	case crew.Heard:
		h.feed.Ack(ch, n)
	case crew.Suspect:
		h.suspect(n)
	}
	return nil
}

func (h *House) witnesses() []crew.Seat {
	if c := h.member.Chart(); c != nil {
		return c.Witnesses
	}
	return nil
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
func (h *House) Take(sc *scope.Scope, o *foreman.Order) error {
	e := &logbook.Event{Kind: o.Kind, Base: o.Base, Body: o.Body, Locality: o.Locality}
	done := make(chan error, 1)
	go func() {
		done <- h.member.Propose(func() ([]byte, error) { return h.check(e) })
	}()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case <-tick.After(plate.OrderWait):
		return fault.New(fault.Unready, "not decided yet")
	case <-sc.Done():
		return fault.New(fault.Unready, "ending")
	}
	if _, n := h.feed.At(); n > 0 {
		h.feed.Wait(sc, n, plate.AckWait)
	}
	return nil
}

// check holds an order against the state as it is; a nil entry means that it is in force already.
func (h *House) check(e *logbook.Event) ([]byte, error) {
	v := h.state.View()
	if e.Kind == logbook.Evacuate || e.Kind == logbook.Return {
		if v.Evac[e.Locality] == (e.Kind == logbook.Evacuate) {
			return nil, nil
		}
		return e.Encode(), nil
	}
	if v.Taken(setup.Digest(e.Kind, e.Base, e.Body)) {
		return nil, nil
	}
	if e.Base != v.Doc.Epoch {
		return nil, fault.New(fault.Stale, "version %d is current", v.Doc.Epoch)
	}
	if _, err := v.Next(e); err != nil {
		return nil, err
	}
	return e.Encode(), nil
}

// Read gives the newest view once the backup has confirmed that this is still the primary.
func (h *House) Read(*scope.Scope) (*logbook.View, error) {
	if !h.member.Confirmed() {
		return nil, fault.New(fault.Unready, "the backup does not confirm")
	}
	return h.state.View(), nil
}

// read does the duty of reading the list: at once when the lease comes, then again and again.
func (h *House) read() {
	for !h.sc.Ended() {
		pause := plate.LeaseAgain
		if h.live.Load() && (h.duty.Held() || h.duty.Renew()) {
			h.poll(false)
			pause = plate.ListEvery
		}
		if !tick.Rest(h.sc, pause) {
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
			h.sc.Log().Warn("list not read", "part", "roster", "err", err.Error())
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

// count tells the fleet its size and where the control members are.
func (h *House) count() {
	if !h.live.Load() {
		return
	}
	now := tick.Now()
	h.mu.Lock()
	for _, s := range h.feed.Reached() {
		h.fleet[s.Addr] = now
	}
	var nodes []string
	for a, at := range h.fleet {
		if now.Sub(at) > plate.FleetForget {
			delete(h.fleet, a)
			continue
		}
		nodes = append(nodes, a)
	}
	if len(nodes) >= h.most || now.Sub(h.mostAt) > plate.FleetForget {
		h.most, h.mostAt = len(nodes), now
	}
	h.mu.Unlock()
	sort.Strings(nodes)
	v := h.news.View()
	if !equal(nodes, v.Nodes) && len(nodes) > 0 {
		h.feed.Push((&logbook.Event{Kind: logbook.Fleet, Size: len(nodes), Nodes: nodes}).Encode())
	}
	var hs []logbook.House
	for _, s := range h.member.Members() {
		hs = append(hs, logbook.House{Addr: s.Addr, Locality: s.Locality})
	}
	if len(hs) != len(v.Houses) || !sameHouses(hs, v.Houses) {
		h.feed.Push((&logbook.Event{Kind: logbook.Houses, Houses: hs}).Encode())
	}
}

func sameHouses(a, b []logbook.House) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// suspect hears from watchers that a gatehouse does not answer. The primary takes it out of the fleet size if it isn't reached any more, at most a part of the fleet at a time: one that still runs keeps using its old share.
func (h *House) suspect(n *crew.Note) {
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
	if known && len(h.fleet)-1 >= h.most-h.most/plate.SuspectPart {
		delete(h.fleet, n.Word)
		h.sc.Log().Info("suspected node leaves the fleet size", "part", "lookout", "node", n.Word)
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
	return calendar.At(ws, tick.Wall())
}

// page is the state page: all of it, or at /fleet the view of the fleet that the checker reads.
func (h *House) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == meter.Path {
		meter.Serve(w, h.figures())
		return
	}
	if r.URL.Path == "/fleet" {
		v := *h.news.View()
		if _, primary := h.member.Active(); primary {
			o := h.state.View()
			v.Doc, v.Evac = o.Doc, o.Evac
		}
		v.Digests = nil
		reply.Bytes(w, http.StatusOK, v.Encode())
		return
	}
	ep, num := h.feed.At()
	v := h.news.View()
	reply.JSON(w, http.StatusOK, map[string]any{
		"maintenance": h.maintenance(),
		"program":     "tallyhouse", "version": plate.Version, "node": h.env.NodeName, "tally": h.member.State(),
		"news":           map[string]any{"epoch": ep, "number": num, "acked": h.feed.Acked(), "source": h.follower.Source(), "live": h.live.Load()},
		"setup_revision": h.state.View().Doc.Epoch, "evacuated": h.state.View().Evac, "replicas": len(v.Replicas), "fleet": v.Fleet,
		"list_duty": h.duty.Held(), "list_calls": h.polls.Load(), "list_failures": h.fails.Load(),
	})
}

// Reload takes new settings: nothing that this process holds depends on those that may change while it runs.
func (h *House) Reload(*env.Env) {}

// Acting tells whether this process is primary and tells the news.
func (h *House) Acting() bool { return h.live.Load() }
