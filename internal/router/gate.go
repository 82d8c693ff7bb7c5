// Package router is the traffic plane: it puts the parts together and carries inquiries to replicas.
package router

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/failuredetector"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/slowness"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/metrics"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

// Plan is what a router is built from.
type Plan struct {
	Env    *settings.Env
	Net    rpc.Net
	Dialer upstream.Dialer
	Work   func() clock.Span // does and times the piece of work that shows a slow machine; nil for the usual one
}

// Gate is one traffic process.
type Gate struct {
	sc        *task.Scope
	env       atomic.Pointer[settings.Env]
	net       rpc.Net
	dialer    upstream.Dialer
	book      *state.Book
	cursor    *distribution.Cursor
	follower  *distribution.Follower
	front     *frontend.Front
	watcher   *failuredetector.Watcher
	level     *slowness.Watch
	index     *prefixindex.Index
	yard      *placement.Yard
	budget    *Budget
	table     atomic.Pointer[routing.Table]
	weights   atomic.Pointer[weights]
	cold      atomic.Pointer[coldShares]
	ready     atomic.Bool
	isReady   chan struct{}
	leaving   atomic.Bool
	inflight  atomic.Int64
	bodies    *fairshare.Pie
	made      upstream.Made
	count     counts
	mu        sync.Mutex
	pools     map[string]*upstream.Pool
	keeps     map[string]*upstream.Keep // by service
	asking    map[string]chan struct{}  // services that a lump is being borrowed for
	refusedAt map[string]clock.Moment   // when none was lent, by service
	toldAt    clock.Moment              // when failures were told last
	pickAt    int
	bad       map[string]clock.Moment // controllers and when they failed last
	dropped   string                  // one that was left for a nearer one, not for failing
	long      *longWork
}

type counts struct {
	inquiries, refused, failed, further, resumed atomic.Int64
}

// New builds a router.
func New(sc *task.Scope, p Plan) *Gate {
	g := &Gate{sc: sc, net: p.Net, dialer: p.Dialer, book: state.NewBook(true), index: prefixindex.NewIndex(), pools: map[string]*upstream.Pool{}, keeps: map[string]*upstream.Keep{}, asking: map[string]chan struct{}{}, refusedAt: map[string]clock.Moment{}, isReady: make(chan struct{}), bad: map[string]clock.Moment{}}
	g.env.Store(p.Env)
	g.yard = placement.NewYard(g.index)
	b := p.Env.Bounds
	g.budget = NewBudget(b.BudgetRatio, b.BudgetSlack, clock.Seconds(b.BudgetWindowS), constants.BudgetMargin)
	g.bodies = fairshare.New(int64(p.Env.Limits.MemoryMB*(1<<20)*constants.BodyMemory), constants.CalmPart)
	g.cursor = distribution.NewCursor(g.book)
	g.table.Store(routing.Compile(state.EmptyView().Doc))
	g.weights.Store(newWeights(nil))
	g.cold.Store(newColdShares(nil, p.Env.Port(constants.PortGate)))
	g.yard.Use(p.Env.Placement)
	at := p.Env.Port(constants.PortGate)
	g.follower = distribution.NewFollower(sc, p.Net, g.cursor, rpc.Seat{ID: xxhash.Sum64String(at) | 1, Addr: at, Locality: p.Env.Locality}, false, g.pick, nil)
	g.level = slowness.NewWatch(sc, p.Work)
	lines := rpc.NewLines(sc, p.Net, g.handle)
	g.long = newLongWork(g)
	g.watcher = failuredetector.New(sc, at, max(clock.Millis(p.Env.BeatMs), constants.NewsBeat), func() []string { return g.book.View().Nodes }, g.pinger(lines, at), func(node string, alive bool) {
		g.follower.Send(&rpc.Note{Kind: rpc.Suspect, OK: alive, Word: node})
	})
	g.follower.Carry(g.words)
	g.follower.Others(g.hearDeck)
	g.book.Watch(g.changed)
	return g
}

// Run serves until the scope ends.
func (g *Gate) Run() error {
	e := g.env.Load()
	fl, err := g.net.Listen(e.Bind.Front)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "front address")
	}
	rl, err := g.net.Listen(e.Bind.Readiness)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "readiness address")
	}
	pl, err := g.net.Listen(e.Port(constants.PortGatePage))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "state page")
	}
	cl, err := g.net.Listen(e.Port(constants.PortGate))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "crew port")
	}
	go rpc.Serve(g.sc, cl, g.handle)
	g.front = frontend.New(g.sc, fl, http.HandlerFunc(g.serve))
	g.front.Limit(g.table.Load().Limits)
	rs := &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: constants.HeadWait, IdleTimeout: constants.IdleWait}
	ps := &http.Server{Handler: http.HandlerFunc(g.page), ReadHeaderTimeout: constants.HeadWait}
	go func() { _ = rs.Serve(rl) }()
	go func() { _ = ps.Serve(pl) }()
	go g.follower.Run()
	go g.watcher.Run()
	go g.tellDeck()
	go g.keep()
	go g.long.run()
	go g.front.Run()
	g.sc.Log().Info("started", "part", "router", "node", e.NodeName)
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

// Leave finishes what is held and returns when the process may end.
func (g *Gate) Leave() {
	g.leaving.Store(true)
	g.long.leave()
	grace := clock.Seconds(g.env.Load().Bounds.GraceS)
	start := clock.Now()
	linger := min(constants.LingerReady, grace/2)
	clock.Rest(g.sc, linger)
	g.front.Finish(grace - constants.GraceMargin - clock.Since(start))
	g.long.finish(grace - constants.GraceMargin - clock.Since(start))
}

// Reload takes new settings.
func (g *Gate) Reload(e *settings.Env) {
	g.env.Store(e)
	g.yard.Use(e.Placement)
	g.cold.Store(newColdShares(g.book.View().Nodes, e.Port(constants.PortGate)))
}

// Takes tells whether a replica may be sent to, as this process knows it now.
func (g *Gate) Takes(replica string) bool { return g.yard.May(replica) }

// Holds tells which configuration and which evacuations are in force here.
func (g *Gate) Holds() (revision int64, evacuated map[string]bool) {
	v := g.book.View()
	return v.Doc.Epoch, v.Evac
}

// Health tells what is held against replicas here.
func (g *Gate) Health() map[string]outlier.Stat { return g.yard.Health().Stats(clock.Now()) }

// pick names the controller to follow next: the own locality's first, others if it failed lately.
func (g *Gate) pick(failed string) string {
	e := g.env.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
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

// nearer changes over to the own locality's controller once it is known, unless it failed lately.
func (g *Gate) nearer(v *state.View) {
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
		if h.Locality == e.Locality && clock.Since(g.bad[h.Addr]) >= 2*e.Contact() {
			g.dropped = src
			go g.follower.Drop()
			return
		}
	}
}

// changed brings everything that is derived up to date with a new view.
func (g *Gate) changed(old, v *state.View, e *state.Event) {
	if e != nil && e.Kind == state.Health {
		g.yard.Health().Suspected(e.Suspects, clock.Now())
		return
	}
	if old.Doc != v.Doc {
		t := routing.Compile(v.Doc)
		g.table.Store(t)
		if g.front != nil {
			g.front.Limit(t.Limits)
		}
	}
	if e.Places() {
		back := clock.Millis(g.env.Load().Cloud.MaxLagMs) + 2*constants.ListEvery
		g.yard.Set(v.Replicas, v.Evac, back)
		g.weights.Store(newWeights(v.Replicas))
		g.mu.Lock()
		for id, p := range g.pools {
			if r := v.Replicas[id]; r == nil {
				delete(g.pools, id)
				go p.Shut()
			}
		}
		g.mu.Unlock()
	}
	if e == nil || e.Kind == state.Fleet {
		g.cold.Store(newColdShares(v.Nodes, g.env.Load().Port(constants.PortGate)))
	}
	if old.Fleet != v.Fleet || old.Doc != v.Doc || e == nil {
		g.share(v, g.table.Load())
	}
	if v.Doc.Epoch > 0 && v.Listed {
		if g.ready.CompareAndSwap(false, true) {
			close(g.isReady)
			g.sc.Log().Info("ready", "part", "router", "revision", v.Doc.Epoch, "replicas", len(v.Replicas))
		}
	}
	if e == nil || e.Kind == state.Houses {
		g.nearer(v)
	}
}

func (g *Gate) fleet() int {
	if n := g.book.View().Fleet; n > 0 {
		return n
	}
	return constants.FleetGuess
}

// channels is this process's share of the connections that each replica of a service takes.
func (g *Gate) channels(s *routing.Pool, id string) int {
	if s == nil || s.Channels <= 0 {
		return constants.ChannelsGuess
	}
	v, n := g.book.View(), g.fleet()
	if s.Channels >= n || len(v.Nodes) == 0 {
		return s.Channels / n
	}
	// fewer connections than nodes: some nodes by rendezvous have one each, the others none
	if rankOf(v.Nodes, id, g.env.Load().Port(constants.PortGate)) < s.Channels {
		return 1
	}
	return 0
}

// rankOf is a node's place among all by rendezvous for a key; the number of nodes if it is not among them.
func rankOf(nodes []string, key, self string) int {
	mine, rank, in := xxhash.Sum64String(key+self), 0, false
	for _, n := range nodes {
		switch h := xxhash.Sum64String(key + n); {
		case n == self:
			in = true
		case h > mine || h == mine && n < self:
			rank++
		}
	}
	if !in {
		return len(nodes)
	}
	return rank
}

func (g *Gate) pool(r *state.Replica, t *routing.Table) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[r.ID]
	if p == nil {
		k := g.keeps[r.Pool]
		if k == nil {
			k = &upstream.Keep{}
			g.keeps[r.Pool] = k
		}
		p = upstream.NewPool(r.Addr, g.dialer, g.channels(t.Pools[r.Pool], r.ID), k, &g.made)
		g.pools[r.ID] = p
	}
	return p
}

// share gives every pool its share anew, after the fleet's size or the setup changed.
func (g *Gate) share(v *state.View, t *routing.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.pools {
		if r := v.Replicas[id]; r != nil {
			p.Limit(g.channels(t.Pools[r.Pool], id))
		}
	}
}

// keep looks at this process's own machine again and again, and through its idle connections now and then: one waking-up does for both.
func (g *Gate) keep() {
	n := 0
	clock.Every(g.sc, constants.LevelEvery, func() bool {
		g.level.Look()
		if n++; n%constants.SweepLooks == 0 {
			g.sweep()
		}
		return true
	})
}

func (g *Gate) sweep() {
	g.mu.Lock()
	var ps []*upstream.Pool
	for _, p := range g.pools {
		ps = append(ps, p)
	}
	g.mu.Unlock()
	for _, p := range ps {
		p.Sweep()
	}
}

// words are the failures seen here since the last time, for the acknowledgement that is about to go; nil mostly.
func (g *Gate) words() []byte {
	now := clock.Now()
	g.mu.Lock()
	due := now.Sub(g.toldAt) >= constants.NewsBeat/2
	if due {
		g.toldAt = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	ws := g.yard.Health().Words(xxhash.Sum64String(g.env.Load().Port(constants.PortGate)), now)
	if len(ws) == 0 {
		return nil
	}
	b, _ := json.Marshal(ws)
	return b
}

// blame holds a failure against a replica, and tells of it at once if nothing was told for a beat.
func (g *Gate) blame(id string, k outlier.Kind) {
	now := clock.Now()
	g.yard.Health().Bad(id, k, now)
	g.mu.Lock()
	due := now.Sub(g.toldAt) >= constants.NewsBeat
	g.mu.Unlock()
	if due {
		g.follower.Tell()
	}
}

// further draws one further try; when the own share is used up, it borrows a lump, which all who wait for that service share.
func (g *Gate) further(pool string, within clock.Span) bool {
	if g.budget.Take(pool, g.fleet()) {
		return true
	}
	now := clock.Now()
	g.mu.Lock()
	w := g.asking[pool]
	if w == nil {
		if now.Sub(g.refusedAt[pool]) < constants.LumpPause {
			g.mu.Unlock()
			return false
		}
		w = make(chan struct{})
		g.asking[pool] = w
		go g.borrow(pool, w)
	}
	g.mu.Unlock()
	select {
	case <-w:
	case <-clock.After(min(within, constants.LumpWait)):
	}
	return g.budget.Take(pool, g.fleet())
}

func (g *Gate) borrow(pool string, w chan struct{}) {
	start := clock.Now()
	a, err := g.follower.Call(&rpc.Note{Kind: rpc.Lend, Word: pool, Number: constants.LumpTries}, constants.LumpWait)
	ok := err == nil && a.OK && a.Number > 0 && a.Number <= constants.LumpTries
	if ok {
		g.budget.Lent(pool, int64(a.Number), start.Add(constants.LumpSpan))
	}
	g.mu.Lock()
	if !ok {
		g.refusedAt[pool] = clock.Now()
	}
	delete(g.asking, pool)
	g.mu.Unlock()
	close(w)
}

func (g *Gate) page(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == metrics.Path {
		metrics.Serve(w, g.figures())
		return
	}
	v := g.book.View()
	ep, num := g.cursor.At()
	runs, asked, hits := g.index.Stats()
	left := map[string]float64{}
	for n := range g.table.Load().Pools {
		left[n] = g.budget.Left(n, g.fleet())
	}
	httpreply.JSON(w, http.StatusOK, map[string]any{
		"program": "router", "version": constants.Version, "node": g.env.Load().NodeName, "ready": g.ready.Load(), "leaving": g.leaving.Load(),
		"news":  map[string]any{"epoch": ep, "number": num, "source": g.follower.Source(), "heard_ago_ms": g.cursor.Age().Milliseconds()},
		"setup": map[string]any{"revision": v.Doc.Epoch, "routes": g.table.Load().Paths}, "evacuated": v.Evac, "fleet": v.Fleet,
		"inflight": g.inflight.Load(), "inquiries": g.count.inquiries.Load(), "refused": g.count.refused.Load(), "failed": g.count.failed.Load(),
		"further_tries": g.count.further.Load(), "resumed": g.count.resumed.Load(), "channels_made": &g.made, "budget_left": left,
		"index":  map[string]any{"runs": runs, "asked": asked, "hits": hits, "portions": g.index.Portions()},
		"bodies": g.bodies.Slices(), "yard": g.yard.Stats(), "suspected": g.watcher.Suspected(), "machine": g.level.State(), "long_work": g.long.seen(),
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
		if !hop[k] && (!named[k] || k == upstream.HeadID || k == upstream.HeadBudget) {
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
