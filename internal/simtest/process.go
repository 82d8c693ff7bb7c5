package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"shaletrestle/coord/replication"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
)

// Names of processes, by which a scenario calls them.
const (
	controllerPrefix = "controller-"
	routerPrefix     = "router-"
)

func controllerName(number int) string { return controllerPrefix + strconv.Itoa(number) }

func routerName(number int) string { return routerPrefix + strconv.Itoa(number) }

// isController reports whether a name is a controller's, not a router's.
func isController(process string) bool { return strings.HasPrefix(process, controllerPrefix) }

// Process is one of our processes.
type Process struct {
	Name        string
	ip          string
	zone        string
	disk        *Disk
	relay       bool // it has no disk
	incarnation *incarnation
	ctx         context.Context
	cancel      context.CancelFunc
	log         *slog.Logger
	controller  *controller.Controller
	router      *router.Router
	slowdown    atomic.Int64 // so many times slower is its machine; none are 0 or 1
	firstStart  bool

	startedAt time.Time
}

// isRunning reports whether a process was started and not killed since.
func (p *Process) isRunning() bool { return p.incarnation != nil && !p.incarnation.dead.Load() }

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

// Seeds sets the seed nodes of processes that start from now on.
func (sim *Simulation) Seeds(names ...string) {
	sim.seeds = nil
	for _, n := range names {
		sim.seeds = append(sim.seeds, sim.process(n).ip+":82")
	}
}

// Add puts up a machine for one process, without starting it.
func (sim *Simulation) Add(name, ip, zone string) *Process {
	p := &Process{Name: name, ip: ip, zone: zone, firstStart: true}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.processes[name] = p
	return p
}

// process gives the process of a name, nil if there is none.
func (sim *Simulation) process(name string) *Process {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.processes[name]
}

// running names the running processes, in order.
func (sim *Simulation) running() (names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for name, p := range sim.processes {
		if p.isRunning() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// settingsOf makes the settings of a process, with the seeds of the moment.
func (sim *Simulation) settingsOf(p *Process, bootstrap bool) (*settings.Settings, error) {
	seeds, _ := json.Marshal(sim.seeds)
	regions := map[string]string{}
	for _, z := range sim.zones {
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
	text := fmt.Sprintf(settingsTemplate, p.Name, p.ip, p.zone, seeds, bootstrap, zones, disk, sim.losses) + sim.extraSettings
	return settings.Parse([]byte(text), settings.Roles{Frontend: !isController(p.Name), Control: isController(p.Name)})
}

// Start starts a process; a controller's name begins with h, a router's with g.
func (sim *Simulation) Start(name string) error {
	p := sim.process(name)
	bootstrap := p.firstStart
	p.firstStart = false
	env, err := sim.settingsOf(p, bootstrap)
	if err != nil {
		return err
	}
	sim.Network.Host(p.ip)
	sim.Network.PowerOn(p.ip)
	if p.disk == nil {
		sim.disksMade++
		p.disk = NewDisk(sim.disksMade*1000003, bootstrap)
		if bootstrap {
			p.disk.seeds = env.SeedMembers()
		}
	}
	sim.mu.Lock()
	if !bootstrap {
		sim.addFaultLocked(name)
	}
	delete(sim.planned.leaving, name)
	p.startedAt = time.Now()
	p.incarnation = &incarnation{Host: sim.Network.Host(p.ip), Disk: p.disk}
	sim.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.log = sim.Log.With("node", name)
	if isController(name) {
		return sim.startController(p, env)
	}
	started := router.New(p.ctx, p.log, router.Options{Settings: env, Net: p.incarnation, Dialer: p.incarnation, SlownessProbe: p.workTime})
	sim.mu.Lock()
	p.router = started
	sim.mu.Unlock()
	sim.watchInvariants(name, started.Invariants())
	go func() { _ = started.Run() }()
	return nil
}

func (sim *Simulation) startController(p *Process, env *settings.Settings) error {
	options := controller.Options{Settings: env, Net: p.incarnation, Store: p.incarnation, Counters: counterDisk{p.incarnation}}
	if p.relay {
		options.Store = replication.NewNoDisk()
		options.Counters = nil
	}
	started, err := controller.New(p.ctx, p.log, options)
	if err != nil {
		return err
	}
	p.controller = started
	sim.watchInvariants(p.Name, started.Invariants())
	go func() { _ = started.Run() }()
	return nil
}

// Reload gives a process new settings with the seeds of the moment, as a SIGHUP does.
func (sim *Simulation) Reload(name string) error {
	p := sim.process(name)
	env, err := sim.settingsOf(p, false)
	if err != nil {
		return err
	}
	sim.mu.Lock()
	sim.planned.reloaded[name] = time.Now()
	sim.mu.Unlock()
	if p.router != nil {
		p.router.Reload(env)
	} else {
		p.controller.Reload(env)
	}
	return nil
}

// Freeze stops a process in the middle of whatever it does.
func (sim *Simulation) Freeze(name string) {
	sim.setLasting(faultFreeze, name, true)
	sim.Network.Freeze(sim.process(name).ip)
}

// Thaw lets a frozen process go on.
func (sim *Simulation) Thaw(name string) {
	sim.setLasting(faultFreeze, name, false)
	sim.Network.Thaw(sim.process(name).ip)
}

// workTime is the time that a router's piece of work takes.
func (p *Process) workTime() time.Duration {
	return 10 * time.Microsecond * time.Duration(max(1, p.slowdown.Load()))
}

// Ready asks a router as the platform does.
func (sim *Simulation) Ready(name string) bool {
	c := sim.client("10.9.0.2")
	c.Timeout = time.Second
	a, err := c.Get("http://" + sim.process(name).ip + ":81/v1/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// FleetSize is the fleet size that a router goes by; 0 if it does not answer.
func (sim *Simulation) FleetSize(name string) int {
	c := sim.client("10.9.0.2")
	c.Timeout = time.Second
	a, err := c.Get("http://" + sim.process(name).ip + ":7003/")
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	var page struct {
		Fleet int `json:"fleet"`
	}
	_ = json.NewDecoder(a.Body).Decode(&page)
	return page.Fleet
}

// Kill ends a process; its connections are reset.
func (sim *Simulation) Kill(name string) {
	sim.addKill(name)
	sim.stop(name, sim.Network.Kill)
}

// PowerOff ends a process by taking its machine's power, silently for its peers.
func (sim *Simulation) PowerOff(name string) {
	sim.addKill(name)
	sim.stop(name, sim.Network.PowerOff)
}

// addKill records the fault that ends a process.
func (sim *Simulation) addKill(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.addFaultLocked(name)
	delete(sim.faults.lasting, faultKey(faultFreeze, name))
}

// stop ends a process and what its host does.
func (sim *Simulation) stop(name string, stopHost func(ip string)) {
	p := sim.process(name)
	p.incarnation.dead.Store(true)
	stopHost(p.ip)
	p.cancel()
}

// Wipe kills a process and empties its disk.
func (sim *Simulation) Wipe(name string) {
	sim.Kill(name)
	sim.process(name).disk = nil
}

// ResetConnections resets all connections of a process's machine.
func (sim *Simulation) ResetConnections(name string) {
	sim.Network.ResetAll(sim.process(name).ip)
	sim.addFault(name)
}

// Shutdown sends a process SIGTERM and waits until it has ended.
func (sim *Simulation) Shutdown(name string) {
	p := sim.process(name)
	sim.mu.Lock()
	sim.planned.leaving[name] = time.Now()
	sim.mu.Unlock()
	if p.router != nil {
		p.router.Shutdown()
	} else {
		p.controller.Shutdown()
	}
	sim.stop(name, sim.Network.Kill)
}
