package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// life fences what a killed process still tries to do.
type life struct {
	*Host
	*Disk
	dead atomic.Bool
}

var errDead = errors.New("this life is over")

func (l *life) Dial(at string, d time.Duration) (net.Conn, error) {
	if l.dead.Load() {
		return nil, errDead
	}
	return l.Host.Dial(at, d)
}

func (l *life) DialReplica(at string, d time.Duration) (net.Conn, error) { return l.Dial(at, d) }

func (l *life) Listen(at string) (net.Listener, error) {
	if l.dead.Load() {
		return nil, errDead
	}
	return l.Host.Listen(at)
}

func (l *life) alive(f func() error) error {
	if l.dead.Load() {
		return errDead
	}
	return f()
}

func (l *life) SaveRegister(r core.Register) error {
	return l.alive(func() error { return l.Disk.SaveRegister(r) })
}
func (l *life) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	return l.alive(func() error { return l.Disk.SaveSnapshot(s, tail) })
}
func (l *life) Append(e core.Entry) error { return l.alive(func() error { return l.Disk.Append(e) }) }

// Proc is one of our processes.
type Proc struct {
	Name  string
	ip    string
	zone  string
	disk  *Disk
	relay bool // it has no disk
	life  *life
	sc    *task.Scope
	house *controller.House
	gate  *router.Gate
	slow  atomic.Int64 // so many times slower is its machine; none are 0 or 1
	first bool
}

// World is one scenario's.
type World struct {
	mu        sync.Mutex
	Net       *Net
	Log       *slog.Logger
	procs     map[string]*Proc
	seeds     []string
	zones     []string
	losses    int // control members that may be lost at once
	ids       uint64
	replicas  map[string]*Replica
	runs      map[string]int  // by attempt id, at replicas
	unsafe    map[string]bool // attempt ids that may run once
	bodies    map[string]string
	keys      map[string]string // the service that ran an affinity key of a split
	broken    []string
	list      func() []*state.Replica
	listDown  bool
	listEmpty bool
	calls     int
	tries     int
	asked     int
	acked     []string // orders acknowledged, newest last
	down      []*http.Server
	sent      int64
	more      string // further settings of every process
}

// Bounds and settings of every simulated process.
const settingsTemplate = `
node_name: %q
ip: %q
zone: %q
zones: %[6]s
bind_addresses: {front: "%[2]s:80", readiness: "%[2]s:81", control: "%[2]s:82"}
internal_port_range: [7000, 7015]
seed_nodes: %[4]s
bootstrap: %[5]v
limits: {memory_mb: 64}
%[7]s
heartbeat_ms: 1200
fault_tolerance: {machine_losses: %[8]d, zones: 1}
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 3000, grace_s: 8, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 60, cold_overshoot: 1.5, cold_slack: 5}
cloud_api: {address: "10.9.0.1:90", rate_per_s: 40, max_lag_ms: 100}
`

// NewWorld makes a world with a platform in it.
func NewWorld(log *slog.Logger) *World {
	w := &World{Net: NewNet(time.Millisecond), Log: log, zones: []string{"a", "b", "c"}, losses: 1, procs: map[string]*Proc{}, replicas: map[string]*Replica{}, runs: map[string]int{}, unsafe: map[string]bool{}, bodies: map[string]string{}, keys: map[string]string{}}
	w.serve("10.9.0.1:90", http.HandlerFunc(w.platform))
	return w
}

func (w *World) serve(at string, h http.Handler) *http.Server {
	ip, _, _ := net.SplitHostPort(at)
	ln, err := w.Net.Host(ip).Listen(at)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(w.Log.Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(ln) }()
	w.mu.Lock()
	w.down = append(w.down, s)
	w.mu.Unlock()
	return s
}

// Broke notes a broken rule.
func (w *World) Broke(rule, format string, a ...any) {
	w.mu.Lock()
	w.broken = append(w.broken, rule+": "+fmt.Sprintf(format, a...))
	w.mu.Unlock()
}

// Seeds sets the controllers that everybody is told of.
func (w *World) Seeds(names ...string) {
	w.seeds = nil
	for _, n := range names {
		w.seeds = append(w.seeds, w.procs[n].ip+":82")
	}
}

// Add puts up a machine for one process, without starting it.
func (w *World) Add(name, ip, zone string) *Proc {
	p := &Proc{Name: name, ip: ip, zone: zone, first: true}
	w.procs[name] = p
	return p
}

// Start starts a process; a controller's name begins with h, a router's with g.
func (w *World) Start(name string) error {
	p := w.procs[name]
	boot := p.first
	p.first = false
	seeds, _ := json.Marshal(w.seeds)
	places := map[string]string{}
	for _, z := range w.zones {
		places[z] = "r"
		if z == "d" { // the one locality of another region
			places[z] = "s"
		}
	}
	zones, _ := json.Marshal(places)
	disk := "quorum_member: true\ndata_dir: \"/data\""
	if p.relay {
		disk = "quorum_member: false"
	}
	e, err := settings.Parse([]byte(fmt.Sprintf(settingsTemplate, name, p.ip, p.zone, seeds, boot, zones, disk, w.losses)+w.more), settings.Need{Front: name[0] == 'g', Control: name[0] == 'h'})
	if err != nil {
		return err
	}
	w.Net.Host(p.ip)
	w.Net.On(p.ip)
	if p.disk == nil {
		w.ids++
		p.disk = NewDisk(w.ids*1000003, boot)
	}
	p.life = &life{Host: w.Net.Host(p.ip), Disk: p.disk}
	p.sc = task.New(w.Log.With("node", name))
	if name[0] == 'h' {
		var st replication.Store = p.life
		if p.relay {
			st = replication.NewNoDisk()
		}
		h, err := controller.New(p.sc, controller.Plan{Env: e, Net: p.life, Store: st})
		if err != nil {
			return err
		}
		p.house = h
		go func() { _ = h.Run() }()
		return nil
	}
	p.gate = router.New(p.sc, router.Plan{Env: e, Net: p.life, Dialer: p.life, Work: p.work})
	g := p.gate
	go func() { _ = g.Run() }()
	return nil
}

// work is the time that a router's piece of work takes.
func (p *Proc) work() time.Duration {
	return 10 * time.Microsecond * time.Duration(max(1, p.slow.Load()))
}

// Ready asks a router as the platform does.
func (w *World) Ready(name string) bool {
	c := w.client("10.9.0.2")
	c.Timeout = time.Second
	a, err := c.Get("http://" + w.procs[name].ip + ":81/v1/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Shares is the fleet size that a router goes by; 0 if it does not answer.
func (w *World) Shares(name string) int {
	c := w.client("10.9.0.2")
	c.Timeout = time.Second
	a, err := c.Get("http://" + w.procs[name].ip + ":7003/")
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	var p struct{ Fleet int }
	_ = json.NewDecoder(a.Body).Decode(&p)
	return p.Fleet
}

// Kill ends a process; power: without a word to its peers.
func (w *World) Kill(name string, power bool) {
	p := w.procs[name]
	p.life.dead.Store(true)
	w.Net.Kill(p.ip, power)
	p.sc.Stop()
}

// Wipe gives a killed process an empty disk.
func (w *World) Wipe(name string) { w.procs[name].disk = nil }

// Leave sends a process SIGTERM and waits until it has ended.
func (w *World) Leave(name string) {
	p := w.procs[name]
	if p.gate != nil {
		p.gate.Leave()
	} else {
		p.house.Leave()
	}
	w.Kill(name, false)
}

// End stops everything.
func (w *World) End() {
	for _, p := range w.procs {
		if p.sc != nil {
			w.Kill(p.Name, false)
			if p.disk != nil {
				p.disk.Fault("ok")
			}
		}
	}
	w.mu.Lock()
	ss := w.down
	w.mu.Unlock()
	for _, s := range ss {
		_ = s.Close()
	}
	w.Net.Close()
}

func (w *World) platform(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if w.listDown {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := []*state.Replica{}
	for _, r := range w.replicas {
		if !w.listEmpty && r.state != "gone" {
			out = append(out, &state.Replica{ID: r.ID, Pool: r.pool, Addr: r.at, Locality: r.zone, Software: "v1", Slots: r.slots, State: r.state, ColdMs: r.cold, Models: []state.Model{{Name: "m", Revision: 1}}})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	_ = json.NewEncoder(rw).Encode(map[string]any{"replicas": out, "next_token": nil})
}

// Replica is a stand-in replica; it judges what reaches it.
type Replica struct {
	w       *World
	ID      string
	pool    string
	at      string
	ip      string
	zone    string
	slots   int
	state   string
	since   time.Time // of the state
	cold    float64
	how     string // what it does with inquiries: ok, full, busy, cut, garble, late, noseal, slow, dark, error, reset
	part    int    // in a hundred of the inquiries it does so with
	from    string // only with those of this caller
	ill     bool   // what its health answer says
	srv     *http.Server
	work    time.Duration
	only    string // the paths that take so long; the others are quick
	mu      sync.Mutex
	busy    int
	got     int
	order   []string
	events  int
	evacAt  time.Time
	coldGot []time.Time
	knew    map[string]time.Time // callers, and when they were first seen to know that it takes nothing more
}

// AddReplica puts up a replica.
func (w *World) AddReplica(id, pool, ip, zone string) *Replica {
	r := &Replica{w: w, part: 100, knew: map[string]time.Time{}, ID: id, pool: pool, ip: ip, at: ip + ":9000", zone: zone, slots: 8, state: "ready", since: time.Now(), how: "ok", work: 20 * time.Millisecond, events: 6}
	w.mu.Lock()
	w.replicas[id] = r
	w.mu.Unlock()
	r.srv = w.serve(r.at, r)
	return r
}

const drainBound = 3 * time.Second

// Down ends a replica's process; Up starts it again, under the same id.
func (r *Replica) Down() {
	_ = r.srv.Close()
	r.w.Net.Kill(r.ip, false)
}

// Up starts a replica that is down.
func (r *Replica) Up() { r.srv = r.w.serve(r.at, r) }

// ServeHTTP is the replica's side.
func (r *Replica) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet && q.URL.Path == "/health" {
		rw.Header().Set("Replica-Id", r.ID)
		if r.ill {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Replica-Load", "1,0,8")
	r.w.mu.Lock()
	mine := r.ID
	r.w.mu.Unlock()
	if x := q.Header.Get("Expected-Replica"); x != mine {
		rw.Header().Set("Replica-Id", mine)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.judge(q, id, string(body))
	r.mu.Lock()
	how, work, events := r.how, r.work, r.events
	if r.from != "" && !strings.HasPrefix(q.RemoteAddr, r.from) || int(crc32.ChecksumIEEE([]byte(id))%100) >= r.part {
		how = "ok"
	}
	if !strings.HasPrefix(q.URL.Path, r.only) {
		work = 20 * time.Millisecond
	}
	if how == "slow" {
		work *= 8
	}
	full := how == "full" || how == "busy" || r.busy >= r.slots
	if !full {
		r.busy++
		r.got++
		r.order = append(r.order, id)
	}
	r.mu.Unlock()
	if full {
		rw.Header().Set("Not-Executed", "1")
		if how == "busy" {
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.busy--
		r.mu.Unlock()
	}()
	w := r.w
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	once := w.unsafe[id]
	w.mu.Unlock()
	if once && n > 1 {
		w.Broke("TWICE", "%s ran %d times", id, n)
	}
	rest(q, work)
	rw.Header().Set("Replica-Seal", "seal-"+id)
	switch how {
	case "dark":
		rest(q, time.Hour)
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	case "error":
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case "noseal":
		rw.Header().Del("Replica-Seal")
		_, _ = rw.Write([]byte("unstamped"))
		return
	case "wrongid":
		rw.Header().Set("Attempt-Id", "somebody-else")
		_, _ = rw.Write([]byte("not yours"))
		return
	case "encoded":
		rw.Header().Set("Content-Encoding", "gzip")
		_, _ = rw.Write([]byte("xx"))
		return
	case "garble":
		c, b, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = b.WriteString("this is no answer\r\n\r\n")
			_ = b.Flush()
			_ = c.Close()
		}
		return
	case "extra":
		c, b, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			one := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nReplica-Seal: seal-" + id + "\r\nContent-Length: " + strconv.Itoa(len(answer(id))) + "\r\n\r\n" + answer(id)
			_, _ = b.WriteString(one + "HTTP/1.1 200 OK\r\nAttempt-Id: zzz\r\nReplica-Seal: s\r\nContent-Length: 4\r\n\r\nlate")
			_ = b.Flush()
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}
		return
	}
	if strings.HasPrefix(q.URL.Path, "/s/") || strings.HasPrefix(q.URL.Path, "/t/") {
		r.stream(rw, q, how, events)
		return
	}
	if how == "cut" {
		rw.Header().Set("Content-Length", "100")
		_, _ = rw.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write([]byte(answer(id)))
}

func rest(q *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.Context().Done():
	}
}

func answer(id string) string { return "the answer to " + id }

func (r *Replica) stream(rw http.ResponseWriter, q *http.Request, how string, events int) {
	from := 0
	if l, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = l
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= events; i++ {
		if how == "cut" && i == from+3 {
			_, _ = fmt.Fprintf(rw, "id: %d\nda", i)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if how == "stall" && i == from+3 {
			rest(q, time.Hour)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(rw).Flush()
		rest(q, 20*time.Millisecond)
	}
}

// judge holds an arrival against the rules.
func (r *Replica) judge(q *http.Request, id, body string) {
	w := r.w
	w.mu.Lock()
	want, known := w.bodies[id]
	evac, state, since, cold := r.evacAt, r.state, r.since, r.cold
	w.mu.Unlock()
	r.late(q.RemoteAddr, id)
	if !known {
		w.Broke("UNASKED", "nobody sent %q", id)
	} else if want != q.Method+" "+q.URL.RequestURI()+" "+body {
		w.Broke("UNASKED", "%s came changed", id)
	}
	if q.Header.Get("Time-Budget-Ms") == "" {
		w.Broke("BUDGET-MS", "%s came without what is left", id)
	}
	if strings.HasPrefix(q.URL.Path, "/h/") && r.zone != "d" {
		w.Broke("HOME", "%s reached %s in another region", id, r.ID)
	}
	if strings.HasPrefix(q.URL.Path, "/k/") {
		key, _, _ := strings.Cut(q.Header.Get("Prompt-Prefix"), ",")
		w.mu.Lock()
		was, again := w.keys[key]
		w.keys[key] = r.pool
		w.mu.Unlock()
		if again && was != r.pool {
			w.Broke("SPLIT", "key %s went to %s and to %s", key, was, r.pool)
		}
	}
	if state != "ready" && time.Since(since) > drainBound {
		w.Broke("DRAIN", "%s reached %s, which is %s", id, r.ID, state)
	}
	if !evac.IsZero() && time.Since(evac) > 5*time.Second {
		w.Broke("EVAC", "%s reached %s", id, r.ID)
	}
	if cold > 0 {
		r.mu.Lock()
		now := time.Now()
		r.coldGot = append(r.coldGot, now)
		for len(r.coldGot) > 0 && now.Sub(r.coldGot[0]) > time.Second {
			r.coldGot = r.coldGot[1:]
		}
		n := len(r.coldGot)
		r.mu.Unlock()
		if n > 20*3/2+5 && time.Since(since) > 2*time.Second {
			w.Broke("FAILBACK", "%s got %d in a second", r.ID, n)
		}
	}
}

// late judges an arrival from a router that knew that the replica takes nothing more: what was on its way may still come, what waited may not.
func (r *Replica) late(from, id string) {
	for _, p := range r.w.procs {
		if p.gate == nil || p.ip != from {
			continue
		}
		r.mu.Lock()
		if p.gate.Takes(r.ID) {
			delete(r.knew, from)
		} else if r.knew[from].IsZero() {
			r.knew[from] = time.Now()
		} else if time.Since(r.knew[from]) > 10*time.Millisecond {
			r.w.Broke("DRAIN", "%s was sent to %s by %s, which knew better", id, r.ID, p.Name)
		}
		r.mu.Unlock()
	}
}

// SetState changes what the list says of a replica.
func (w *World) SetState(id, state string) {
	w.mu.Lock()
	w.replicas[id].state, w.replicas[id].since = state, time.Now()
	w.mu.Unlock()
}

// client makes a client whose calls leave from a host of its own.
func (w *World) client(ip string) *http.Client {
	h := w.Net.Host(ip)
	return &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, Dial: func(_, a string) (net.Conn, error) { return h.Dial(a, time.Second) }}}
}

// Outcome is how one inquiry ended.
type Outcome struct {
	ID     string
	Status int // 0: no whole answer
	Body   string
	Took   time.Duration
}

// Ask sends one inquiry to a gate and judges its answer.
func (w *World) Ask(gate, path, prefix string, once bool, size int) Outcome {
	w.mu.Lock()
	w.asked++
	id := fmt.Sprintf("q%d", w.asked)
	w.unsafe[id] = once
	body := "body of " + id + strings.Repeat(".", size)
	w.bodies[id] = "POST " + path + " " + body
	w.mu.Unlock()
	q, _ := http.NewRequest(http.MethodPost, "http://"+w.procs[gate].ip+":80"+path, strings.NewReader(body))
	q.Host = "h.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Time-Budget-Ms", "3000")
	if prefix != "" {
		q.Header.Set("Prompt-Prefix", prefix)
		q.Header.Set("Model", "m")
	}
	if strings.HasSuffix(path, "/long") { // long work by its counts
		q.Header.Set("Token-Counts", "100,6")
	}
	at := time.Now()
	c := w.client("10.8.0.1")
	c.Timeout = 4 * time.Second
	a, err := c.Do(q)
	if err != nil {
		return Outcome{ID: id, Took: time.Since(at)}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o := Outcome{id, a.StatusCode, string(b), time.Since(at)}
	if err != nil {
		o.Status = 0
		return o
	}
	w.mu.Lock()
	ran := w.runs[id]
	w.mu.Unlock()
	switch {
	case a.StatusCode == http.StatusOK:
		want := answer(id)
		if a.Header.Get("Content-Type") == "text/event-stream" {
			want = pieces(6)
		}
		if a.Header.Get("Replica-Seal") != "seal-"+id || string(b) != want {
			w.Broke("MIXED", "%s got %q", id, b)
		}
	case (a.StatusCode == 503 || a.StatusCode == 429) && ran > 0 && once:
		w.Broke("REFUSED", "%s was refused and ran", id)
	case a.StatusCode == 503 && a.Header.Get("Retry-After") == "":
		w.Broke("RETRY-AFTER", "%s was not told when to come back", id)
	}
	return o
}

func pieces(n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// Order makes one call of the operator on one node, following 307; status 0 is no clear answer.
func (w *World) Order(node, method, path, ifMatch, body string) (int, string) {
	at := "http://" + w.procs[node].ip + ":82" + path
	for range 3 {
		q, _ := http.NewRequest(method, at, strings.NewReader(body))
		if ifMatch != "" {
			q.Header.Set("If-Match", ifMatch)
		}
		c := w.client("10.8.0.2")
		c.Timeout = time.Second
		a, err := c.Do(q)
		if err != nil {
			return 0, ""
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil {
			return 0, ""
		}
		if a.StatusCode == http.StatusTemporaryRedirect {
			at = a.Header.Get("Location")
			continue
		}
		return a.StatusCode, string(b)
	}
	return 0, ""
}

// Insist repeats an order on all nodes until a clear answer comes, at most d.
func (w *World) Insist(d time.Duration, method, path, ifMatch, body string) int {
	end := time.Now().Add(d)
	var ns []string
	for n := range w.procs {
		if n[0] == 'h' {
			ns = append(ns, n)
		}
	}
	sort.Strings(ns)
	for i := 0; time.Now().Before(end); i++ {
		s, _ := w.Order(ns[i%len(ns)], method, path, ifMatch, body)
		if s != 0 && s < 500 && s != 307 {
			return s
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
