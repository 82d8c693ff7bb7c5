package simtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
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
	l.n.waitAwake(l.ip)
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

func (l *life) Append(e core.Entry) error {
	return l.alive(func() error { return l.Disk.Append(e) })
}

// Proc is one of our processes.
type Proc struct {
	Name   string
	ip     string
	zone   string
	disk   *Disk
	relay  bool // it has no disk
	life   *life
	ctx    context.Context
	cancel context.CancelFunc
	log    *slog.Logger
	house  *controller.Controller
	gate   *router.Router
	slow   atomic.Int64 // so many times slower is its machine; none are 0 or 1
	first  bool

	startedAt time.Time
}

// running tells whether a process was started and not killed since.
func (p *Proc) running() bool { return p.life != nil && !p.life.dead.Load() }

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

// Seeds sets the controllers that everybody is told of.
func (w *World) Seeds(names ...string) {
	w.seeds = nil
	for _, n := range names {
		w.seeds = append(w.seeds, w.process(n).ip+":82")
	}
}

// Add puts up a machine for one process, without starting it.
func (w *World) Add(name, ip, zone string) *Proc {
	p := &Proc{Name: name, ip: ip, zone: zone, first: true}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs[name] = p
	return p
}

// process gives the process of a name, nil if there is none.
func (w *World) process(name string) *Proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[name]
}

// living names the running processes, in order.
func (w *World) living() (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.procs {
		if p.running() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// settingsOf makes the settings of a process, with the seeds of the moment.
func (w *World) settingsOf(p *Proc, bootstrap bool) (*settings.Settings, error) {
	seeds, _ := json.Marshal(w.seeds)
	regions := map[string]string{}
	for _, z := range w.zones {
		regions[z] = "r"
		if z == "d" { // the one zone of another region
			regions[z] = "s"
		}
	}
	zones, _ := json.Marshal(regions)
	disk := "quorum_member: true\ndata_dir: \"/data\""
	if p.relay {
		disk = "quorum_member: false"
	}
	text := fmt.Sprintf(settingsTemplate, p.Name, p.ip, p.zone, seeds, bootstrap, zones, disk, w.losses) + w.more
	return settings.Parse([]byte(text), settings.Need{Front: !isController(p.Name), Control: isController(p.Name)})
}

// Start starts a process; a controller's name begins with h, a router's with g.
func (w *World) Start(name string) error {
	p := w.process(name)
	bootstrap := p.first
	p.first = false
	env, err := w.settingsOf(p, bootstrap)
	if err != nil {
		return err
	}
	w.Net.Host(p.ip)
	w.Net.On(p.ip)
	if p.disk == nil {
		w.ids++
		p.disk = NewDisk(w.ids*1000003, bootstrap)
		if bootstrap {
			p.disk.seeds = env.SeedMembers()
		}
	}
	w.mu.Lock()
	if !bootstrap {
		w.trouble(name)
	}
	delete(w.planned.leaving, name)
	p.startedAt = time.Now()
	p.life = &life{Host: w.Net.Host(p.ip), Disk: p.disk}
	w.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.log = w.Log.With("node", name)
	if isController(name) {
		return w.startController(p, env)
	}
	gate := router.New(p.ctx, p.log, router.Options{Settings: env, Net: p.life, Dialer: p.life, SlownessProbe: p.work})
	w.mu.Lock()
	p.gate = gate
	w.mu.Unlock()
	go func() { _ = gate.Run() }()
	return nil
}

func (w *World) startController(p *Proc, env *settings.Settings) error {
	var store replication.Store = p.life
	if p.relay {
		store = replication.NewNoDisk()
	}
	house, err := controller.New(p.ctx, p.log, controller.Options{Settings: env, Net: p.life, Store: store})
	if err != nil {
		return err
	}
	p.house = house
	go func() { _ = house.Run() }()
	return nil
}

// Reload gives a process new settings with the seeds of the moment, as a SIGHUP does.
func (w *World) Reload(name string) error {
	p := w.process(name)
	env, err := w.settingsOf(p, false)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.planned.reloaded[name] = time.Now()
	w.mu.Unlock()
	if p.gate != nil {
		p.gate.Reload(env)
	} else {
		p.house.Reload(env)
	}
	return nil
}

// Freeze stops a process in the middle of whatever it does, or lets it go on.
func (w *World) Freeze(name string, on bool) {
	w.setOngoing(frozen, name, on)
	w.Net.Freeze(w.process(name).ip, on)
}

// work is the time that a router's piece of work takes.
func (p *Proc) work() time.Duration {
	return 10 * time.Microsecond * time.Duration(max(1, p.slow.Load()))
}

// Ready asks a router as the platform does.
func (w *World) Ready(name string) bool {
	c := w.client("10.9.0.2")
	c.Timeout = time.Second
	a, err := c.Get("http://" + w.process(name).ip + ":81/v1/readiness")
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
	a, err := c.Get("http://" + w.process(name).ip + ":7003/")
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
	w.mu.Lock()
	w.trouble(name)
	delete(w.troubles.ongoing, ongoingKey(frozen, name))
	w.mu.Unlock()
	w.end(name, power)
}

func (w *World) end(name string, power bool) {
	p := w.process(name)
	p.life.dead.Store(true)
	w.Net.Kill(p.ip, power)
	p.cancel()
}

// Wipe gives a killed process an empty disk.
func (w *World) Wipe(name string) { w.process(name).disk = nil }

// Leave sends a process SIGTERM and waits until it has ended.
func (w *World) Leave(name string) {
	p := w.process(name)
	w.mu.Lock()
	w.planned.leaving[name] = time.Now()
	w.mu.Unlock()
	if p.gate != nil {
		p.gate.Shutdown()
	} else {
		p.house.Shutdown()
	}
	w.end(name, false)
}
