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

// Simulation is one scenario's: the machines, the stand-ins, and what the judge has seen.
type Simulation struct {
	mu             sync.Mutex
	Network        *Network
	Log            *slog.Logger
	processes      map[string]*Process
	seeds          []string
	zones          []string
	losses         int // control members that may be lost at once
	coreSize       int // control members that the scenario began with
	disksMade      uint64
	extraSettings  string // further settings of every process
	replicas       map[string]*Replica
	platform       platform
	operator       operator
	servers        []*http.Server
	requests       map[string]*request // by attempt id
	requestsMade   int                 // requests made so far
	keys           map[string]string   // the service that ran an affinity key of a split
	routes         map[string]*route   // of the newest acknowledged configuration, by name
	faults         faultLog
	planned        planned
	counts         counts
	violations     []Violation
	recorders      []processRecorder // of all processes that were started
	acceptedPrices map[Rule]bool     // prices that the scenario declares to pay
	connectedOnly  bool              // rules with a time bound apply only to connected machines
	configured     bool              // a first configuration was acknowledged
}

// NewSimulation makes a simulation with a platform in it.
func NewSimulation(log *slog.Logger) *Simulation {
	sim := &Simulation{
		Network:        NewNetwork(time.Millisecond),
		Log:            log,
		zones:          []string{"a", "b", "c"},
		losses:         1,
		processes:      map[string]*Process{},
		replicas:       map[string]*Replica{},
		requests:       map[string]*request{},
		keys:           map[string]string{},
		routes:         map[string]*route{},
		faults:         newFaultLog(),
		planned:        newPlanned(),
		counts:         newCounts(),
		operator:       operator{open: map[order]bool{}},
		acceptedPrices: map[Rule]bool{},
	}
	sim.serve("10.9.0.1:90", http.HandlerFunc(sim.servePlatform))
	return sim
}

func (sim *Simulation) serve(at string, h http.Handler) *http.Server {
	ip, _, _ := net.SplitHostPort(at)
	listener, err := sim.Network.Host(ip).Listen(at)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(sim.Log.Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(listener) }()
	sim.mu.Lock()
	sim.servers = append(sim.servers, s)
	sim.mu.Unlock()
	return s
}

// Close stops everything.
func (sim *Simulation) Close() {
	for _, p := range sim.processes {
		if p.ctx == nil {
			continue
		}
		sim.Network.Thaw(p.ip)
		sim.Kill(p.Name)
		if p.disk != nil {
			p.disk.Fault("ok")
		}
	}
	sim.mu.Lock()
	servers := sim.servers
	sim.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	sim.Network.Close()
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

func (sim *Simulation) servePlatform(rw http.ResponseWriter, _ *http.Request) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.platform.calls++
	if sim.platform.down {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := []*state.Replica{}
	for _, r := range sim.replicas {
		if !sim.platform.empty && r.state != "gone" {
			list = append(list, r.listed())
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	_ = json.NewEncoder(rw).Encode(map[string]any{"replicas": list, "next_token": nil})
}

// SetState changes what the list says of a replica.
func (sim *Simulation) SetState(id, state string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.replicas[id].state, sim.replicas[id].since = state, time.Now()
}
