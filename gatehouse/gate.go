// Package gatehouse is the traffic plane: it puts the parts together and carries inquiries to replicas.
package gatehouse

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/atomic"

	"shaletrestle/berth"
	"shaletrestle/blade"
	"shaletrestle/buyer"
	"shaletrestle/crew"
	"shaletrestle/env"
	"shaletrestle/fault"
	"shaletrestle/haul"
	"shaletrestle/kerf"
	"shaletrestle/logbook"
	"shaletrestle/lookout"
	"shaletrestle/meter"
	"shaletrestle/plate"
	"shaletrestle/portion"
	"shaletrestle/reply"
	"shaletrestle/scope"
	"shaletrestle/sorting"
	"shaletrestle/tick"
)

// Plan is what a gatehouse is built from.
type Plan struct {
	Env    *env.Env
	Net    crew.Net
	Dialer blade.Dialer
}

// Gate is one traffic process.
type Gate struct {
	sc       *scope.Scope
	env      atomic.Pointer[env.Env]
	net      crew.Net
	dialer   blade.Dialer
	book     *logbook.Book
	cursor   *haul.Cursor
	follower *haul.Follower
	front    *buyer.Front
	watcher  *lookout.Watcher
	index    *kerf.Index
	yard     *berth.Yard
	budget   *Budget
	table    atomic.Pointer[sorting.Table]
	ready    atomic.Bool
	isReady  chan struct{}
	leaving  atomic.Bool
	inflight atomic.Int64
	bodies   *portion.Pie
	made     atomic.Int64
	count    counts
	mu       sync.Mutex
	pools    map[string]*blade.Pool
	roots    sync.Map
	pickAt   int
	bad      map[string]tick.Moment // tallyhouses and when they failed last
	dropped  string                 // one that was left for a nearer one, not for failing
}

type counts struct {
	inquiries, refused, failed, further, resumed atomic.Int64
}

// New builds a gatehouse.
func New(sc *scope.Scope, p Plan) *Gate {
	g := &Gate{sc: sc, net: p.Net, dialer: p.Dialer, book: logbook.NewBook(true), index: kerf.NewIndex(), pools: map[string]*blade.Pool{}, isReady: make(chan struct{}), bad: map[string]tick.Moment{}}
	g.env.Store(p.Env)
	g.yard = berth.NewYard(g.index)
	b := p.Env.Bounds
	g.budget = NewBudget(b.BudgetRatio, b.BudgetSlack, tick.Seconds(b.BudgetWindowS), plate.BudgetMargin)
	g.bodies = portion.New(int64(p.Env.Limits.MemoryMB*(1<<20)*plate.BodyMemory), plate.CalmPart)
	g.cursor = haul.NewCursor(g.book)
	g.table.Store(sorting.Compile(logbook.EmptyView().Doc))
	at := p.Env.Port(plate.PortGate)
	g.follower = haul.NewFollower(sc, p.Net, g.cursor, crew.Seat{ID: xxhash.Sum64String(at) | 1, Addr: at, Locality: p.Env.Locality}, false, g.pick, nil)
	lines := crew.NewLines(sc, p.Net, g.handle)
	ping := func(node string) bool {
		a, err := lines.Call(node, &crew.Note{Kind: crew.Hello}, plate.CallWait)
		return err == nil && a.OK
	}
	g.watcher = lookout.New(sc, at, max(tick.Millis(p.Env.BeatMs), plate.NewsBeat), func() []string { return g.book.View().Nodes }, ping, func(node string, alive bool) {
		g.follower.Send(&crew.Note{Kind: crew.Suspect, OK: alive, Word: node})
	})
	g.book.Watch(g.changed)
	return g
}

// Run serves until the scope ends.
func (g *Gate) Run() error {
	e := g.env.Load()
	fl, err := g.net.Listen(e.Bind.Front)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "front address")
	}
	rl, err := g.net.Listen(e.Bind.Readiness)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "readiness address")
	}
	pl, err := g.net.Listen(e.Port(plate.PortGatePage))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "state page")
	}
	cl, err := g.net.Listen(e.Port(plate.PortGate))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "crew port")
	}
	go crew.Serve(g.sc, cl, g.handle)
	g.front = buyer.New(g.sc, fl, http.HandlerFunc(g.serve))
	g.front.Limit(g.table.Load().Limits)
	rs := &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: plate.HeadWait, IdleTimeout: plate.IdleWait}
	ps := &http.Server{Handler: http.HandlerFunc(g.page), ReadHeaderTimeout: plate.HeadWait}
	go func() { _ = rs.Serve(rl) }()
	go func() { _ = ps.Serve(pl) }()
	go g.follower.Run()
	go g.watcher.Run()
	go tick.Every(g.sc, plate.SweepEvery, func() bool { g.sweep(); return true })
	go g.front.Run()
	g.sc.Log().Info("started", "part", "gatehouse", "node", e.NodeName)
	<-g.sc.Done()
	_ = rs.Close()
	_ = ps.Close()
	g.front.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Shut()
	}
	return nil
}

// handle answers the pings of other gatehouses.
func (g *Gate) handle(_ *crew.Channel, n *crew.Note) *crew.Note {
	if n.Kind != crew.Hello || n.Call == 0 {
		return nil
	}
	return n.Reply(true)
}

// Leave finishes what is held and returns when the process may end.
func (g *Gate) Leave() {
	g.leaving.Store(true)
	grace := tick.Seconds(g.env.Load().Bounds.GraceS)
	start := tick.Now()
	linger := min(plate.LingerReady, grace/2)
	tick.Rest(g.sc, linger)
	g.front.Finish(grace - plate.GraceMargin - tick.Since(start))
}

// Reload takes new settings.
func (g *Gate) Reload(e *env.Env) { g.env.Store(e) }

func (g *Gate) readiness(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/readiness" {
		if g.ready.Load() && !g.leaving.Load() {
			reply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
		} else {
			reply.JSON(w, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		}
		return
	}
	reply.Fault(w, fault.New(fault.NoPath, "no such call"))
}

// pick names the tallyhouse to follow next: the own locality's first, others if it failed lately.
func (g *Gate) pick(failed string) string {
	e := g.env.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := tick.Now()
	if failed != "" && failed != g.dropped {
		g.bad[failed] = now
	}
	g.dropped = ""
	var near, far, all []string
	seen := map[string]bool{}
	for _, h := range g.book.View().Houses {
		seen[h.Addr] = true
		all = append(all, h.Addr)
		switch {
		case now.Sub(g.bad[h.Addr]) < e.Contact():
		case h.Locality == e.Locality:
			near = append(near, h.Addr)
		default:
			far = append(far, h.Addr)
		}
	}
	for _, a := range e.SeedCrew() {
		if !seen[a] {
			all = append(all, a)
			if now.Sub(g.bad[a]) >= e.Contact() {
				far = append(far, a)
			}
		}
	}
	g.pickAt++
	for _, s := range [][]string{near, far, all} {
		if len(s) > 0 {
			return s[(g.pickAt+int(xxhash.Sum64String(e.NodeName)%1024))%len(s)]
		}
	}
	return ""
}

// nearer changes over to the own locality's tallyhouse once it is known, unless it failed lately.
func (g *Gate) nearer(v *logbook.View) {
	src := g.follower.Source()
	if src == "" {
		return
	}
	e := g.env.Load()
	for _, h := range v.Houses {
		if h.Addr == src && h.Locality == e.Locality {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range v.Houses {
		if h.Locality == e.Locality && tick.Since(g.bad[h.Addr]) >= 2*e.Contact() {
			g.dropped = src
			go g.follower.Drop()
			return
		}
	}
}

// changed brings everything that is derived up to date with a new view.
func (g *Gate) changed(old, v *logbook.View, e *logbook.Event) {
	if old.Doc != v.Doc {
		t := sorting.Compile(v.Doc)
		g.table.Store(t)
		if g.front != nil {
			g.front.Limit(t.Limits)
		}
	}
	back := tick.Millis(g.env.Load().Cloud.MaxLagMs) + 2*plate.ListEvery
	g.yard.Set(v.Replicas, v.Evac, back)
	g.mu.Lock()
	for id, p := range g.pools {
		if r := v.Replicas[id]; r == nil {
			delete(g.pools, id)
			go p.Shut()
		}
	}
	g.mu.Unlock()
	if v.Doc.Epoch > 0 && v.Listed {
		if g.ready.CompareAndSwap(false, true) {
			close(g.isReady)
			g.sc.Log().Info("ready", "part", "gatehouse", "revision", v.Doc.Epoch, "replicas", len(v.Replicas))
		}
	}
	if e == nil || e.Kind == logbook.Houses {
		g.nearer(v)
	}
}

func (g *Gate) fleet() int {
	if n := g.book.View().Fleet; n > 0 {
		return n
	}
	return plate.FleetGuess
}

func (g *Gate) pool(r *logbook.Replica, t *sorting.Table) *blade.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[r.ID]
	if p == nil {
		most := plate.ChannelsGuess
		if s := t.Pools[r.Pool]; s != nil && s.Channels > 0 {
			most = s.Channels / g.fleet()
		}
		p = blade.NewPool(r.Addr, g.dialer, most, &g.made)
		g.pools[r.ID] = p
	}
	return p
}

func (g *Gate) sweep() {
	g.mu.Lock()
	var ps []*blade.Pool
	for _, p := range g.pools {
		ps = append(ps, p)
	}
	g.mu.Unlock()
	for _, p := range ps {
		p.Sweep()
	}
}

// coldRate is this process's share of what one cold replica bears: a few nodes by rendezvous, the others none.
func (g *Gate) coldRate(perS float64, id string) float64 {
	v := g.book.View()
	if len(v.Nodes) == 0 {
		return perS * plate.ColdMargin / plate.FleetGuess
	}
	self := g.env.Load().Port(plate.PortGate)
	ns := append([]string{}, v.Nodes...)
	sort.Slice(ns, func(i, j int) bool { return xxhash.Sum64String(id+ns[i]) > xxhash.Sum64String(id+ns[j]) })
	k := min(plate.ColdNodes, len(ns))
	for _, n := range ns[:k] {
		if n == self {
			return perS * plate.ColdMargin / float64(k)
		}
	}
	return 0
}

// weights gives the revision of a model that a service's replicas serve.
func (g *Gate) weights(pool, model string) int64 {
	rev := int64(0)
	for _, r := range g.book.View().Replicas {
		if r.Pool != pool {
			continue
		}
		for _, m := range r.Models {
			if m.Name == model {
				rev = max(rev, m.Revision)
			}
		}
	}
	return rev
}

func (g *Gate) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == meter.Path {
		meter.Serve(w, g.figures())
		return
	}
	v := g.book.View()
	ep, num := g.cursor.At()
	runs, asked, hits := g.index.Stats()
	left := map[string]float64{}
	for n := range g.table.Load().Pools {
		left[n] = g.budget.Left(n, g.fleet())
	}
	reply.JSON(w, http.StatusOK, map[string]any{
		"program": "gatehouse", "version": plate.Version, "node": g.env.Load().NodeName, "ready": g.ready.Load(), "leaving": g.leaving.Load(),
		"news":  map[string]any{"epoch": ep, "number": num, "source": g.follower.Source(), "heard_ago_ms": g.cursor.Age().Milliseconds()},
		"setup": map[string]any{"revision": v.Doc.Epoch, "routes": g.table.Load().Paths}, "evacuated": v.Evac, "fleet": v.Fleet,
		"inflight": g.inflight.Load(), "inquiries": g.count.inquiries.Load(), "refused": g.count.refused.Load(), "failed": g.count.failed.Load(),
		"further_tries": g.count.further.Load(), "resumed": g.count.resumed.Load(), "channels_made": g.made.Load(), "budget_left": left,
		"index":  map[string]any{"runs": runs, "asked": asked, "hits": hits, "portions": g.index.Portions()},
		"bodies": g.bodies.Slices(), "yard": g.yard.Stats(), "suspected": g.watcher.Suspected(),
	})
}

// hop are the heads that concern one connection only.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true, "Expect": true}

// passOn copies an inquiry's heads, all but those of one connection.
func passOn(h http.Header) http.Header {
	o := make(http.Header, len(h)+4)
	named := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, x := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(x))] = true
		}
	}
	for k, v := range h {
		if !hop[k] && (!named[k] || k == blade.HeadID || k == blade.HeadBudget) {
			o[k] = v
		}
	}
	if _, ok := o["User-Agent"]; !ok {
		o["User-Agent"] = []string{""}
	}
	return o
}

// back is the allow list of heads of an answer.
var back = []string{"Content-Type", "Attempt-Id", "Replica-Seal", "Replica-Load", "Weight-Versions", "Retry-After", "Cache-Control", "Content-Language",
	"Etag", "Last-Modified", "Vary", "Location", "Allow", "Www-Authenticate", "Accept-Ranges", "Content-Range", "Content-Disposition", "Link", "Replica-Id"}

func passBack(to, from http.Header) {
	for _, k := range back {
		if v, ok := from[k]; ok {
			to[k] = v
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
