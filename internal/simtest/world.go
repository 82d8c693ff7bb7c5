package simtest

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"shaletrestle/internal/state"
)

// World is one scenario's: the machines, the stand-ins, and what the judge has seen.
type World struct {
	mu          sync.Mutex
	Net         *Net
	Log         *slog.Logger
	procs       map[string]*Proc
	seeds       []string
	zones       []string
	losses      int // control members that may be lost at once
	coreSize    int // control members that the scenario began with
	ids         uint64
	more        string // further settings of every process
	replicas    map[string]*Replica
	platform    platform
	operator    operator
	servers     []*http.Server
	requests    map[string]*request // by attempt id
	asked       int                 // requests made so far
	keys        map[string]string   // the service that ran an affinity key of a split
	routes      map[string]*route   // of the newest acknowledged configuration, by name
	troubles    troubles
	planned     planned
	counts      counts
	broken      []Violation
	paid        map[Rule]bool // prices that the scenario declares to pay
	inTouchOnly bool          // rules with a time bound don't hold machines that are out of touch
	configured  bool          // a first configuration was acknowledged
}

// NewWorld makes a world with a platform in it.
func NewWorld(log *slog.Logger) *World {
	w := &World{
		Net:      NewNet(time.Millisecond),
		Log:      log,
		zones:    []string{"a", "b", "c"},
		losses:   1,
		procs:    map[string]*Proc{},
		replicas: map[string]*Replica{},
		requests: map[string]*request{},
		keys:     map[string]string{},
		routes:   map[string]*route{},
		troubles: newTroubles(),
		planned:  newPlanned(),
		counts:   newCounts(),
		operator: operator{open: map[order]bool{}},
		paid:     map[Rule]bool{},
	}
	w.serve("10.9.0.1:90", http.HandlerFunc(w.servePlatform))
	return w
}

func (w *World) serve(at string, h http.Handler) *http.Server {
	ip, _, _ := net.SplitHostPort(at)
	listener, err := w.Net.Host(ip).Listen(at)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(w.Log.Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(listener) }()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s
}

// End stops everything.
func (w *World) End() {
	for _, p := range w.procs {
		if p.ctx == nil {
			continue
		}
		w.Net.Freeze(p.ip, false)
		w.Kill(p.Name, false)
		if p.disk != nil {
			p.disk.Fault("ok")
		}
	}
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	w.Net.Close()
}

// platform is the stand-in that lists replicas.
type platform struct {
	down, empty bool
	calls       int
	outages     []outage
}

// outage is a time without the platform's list; one that lasts has no end.
type outage struct{ from, till time.Time }

// set changes what the platform does.
func (p *platform) set(how string) {
	now := time.Now()
	down := how == "down"
	if down && !p.down {
		p.outages = append(p.outages, outage{from: now})
	}
	if !down && p.down {
		p.outages[len(p.outages)-1].till = now
	}
	p.down, p.empty = down, how == "empty"
}

// upFor tells how much of the time since a moment the platform could be asked.
func (p *platform) upFor(since, now time.Time) time.Duration {
	up := now.Sub(since)
	for _, o := range p.outages {
		till := o.till
		if till.IsZero() {
			till = now
		}
		from := o.from
		if from.Before(since) {
			from = since
		}
		up -= max(0, till.Sub(from))
	}
	return up
}

func (w *World) servePlatform(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.calls++
	if w.platform.down {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := []*state.Replica{}
	for _, r := range w.replicas {
		if !w.platform.empty && r.state != "gone" {
			list = append(list, r.listed())
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	_ = json.NewEncoder(rw).Encode(map[string]any{"replicas": list, "next_token": nil})
}

// SetState changes what the list says of a replica.
func (w *World) SetState(id, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas[id].state, w.replicas[id].since = state, time.Now()
}
