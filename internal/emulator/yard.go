package emulator

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"gopkg.in/yaml.v3"

	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// daemon is one process of the fleet, run in this one from a settings file of its own.
type daemon struct {
	name string
	file string
	zone string
	ip   string
	wire *wire
	sc   *task.Scope
	d    settings.Daemon
	done chan error
}

// yard is everything that one experiment puts up.
type yard struct {
	sc       *task.Scope
	x        *Experiment
	dir      string
	ground   *ground
	judge    *judge
	platform *platform
	listAt   string
	replicas map[string]*Replica
	order    []string // of the replicas
	houses   []*daemon
	gates    []*daemon
	servers  []*http.Server
	operator *operator
}

// newYard puts up the stand-ins and writes the settings; list is what the platform tells, that of the experiment's replicas if it is nil. Whatever it returns is to be ended by close.
func newYard(sc *task.Scope, x *Experiment, list func() []*state.Replica) (*yard, error) {
	g, err := newGround(x.Address, x.Port)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "emulator-")
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "temporary folder")
	}
	y := &yard{sc: sc.Part("emulator"), x: x, dir: dir, ground: g, judge: newJudge(), replicas: map[string]*Replica{}}
	if list == nil {
		list = y.list
	}
	if err := y.put(list); err != nil {
		y.close()
		return nil, err
	}
	return y, nil
}

func (y *yard) zone(i int) string { return y.x.Fleet.Zones[i%len(y.x.Fleet.Zones)] }

func (y *yard) put(list func() []*state.Replica) error {
	ip, err := y.ground.machine("")
	if err != nil {
		return err
	}
	y.listAt = y.ground.at(ip, portReplica)
	for i := range y.x.Services {
		s := &y.x.Services[i]
		for n := range s.Replicas {
			ip, err := y.ground.machine(y.zone(n))
			if err != nil {
				return err
			}
			r := newReplica(y.sc, y.judge, s, replicaName(s.Name, n), y.ground.at(ip, portReplica), y.zone(n))
			y.replicas[r.name] = r
			y.order = append(y.order, r.name)
			if err := r.start(true); err != nil {
				return err
			}
		}
	}
	y.platform = newPlatform(y.sc, y.x.Platform, list)
	ln, err := listen(y.listAt)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: y.platform, ReadHeaderTimeout: constants.HeadWait}
	y.servers = append(y.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	if err := y.seat(&y.houses, y.x.Fleet.Controllers, "controller"); err != nil {
		return err
	}
	if err := y.seat(&y.gates, y.x.Fleet.Routers, "router"); err != nil {
		return err
	}
	var at []string
	for _, h := range y.houses {
		at = append(at, y.ground.at(h.ip, portControl))
	}
	y.operator = newOperator(at)
	for _, d := range append(append([]*daemon{}, y.houses...), y.gates...) {
		if err := y.write(d, true); err != nil {
			return err
		}
	}
	return nil
}

func (y *yard) seat(to *[]*daemon, n int, role string) error {
	for i := range n {
		zone := y.zone(i)
		ip, err := y.ground.machine(zone)
		if err != nil {
			return err
		}
		*to = append(*to, &daemon{name: fmt.Sprintf("%s-%d", role, i+1), ip: ip, zone: zone})
	}
	return nil
}

func (y *yard) list() []*state.Replica {
	var out []*state.Replica
	for _, n := range y.order {
		if e := y.replicas[n].entry(); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// settings are a daemon's, as the platform would give them.
func (y *yard) settings(d *daemon, boot bool) map[string]any {
	zones := map[string]string{}
	for _, z := range y.x.Fleet.Zones {
		zones[z] = "region-" + z
	}
	var seeds []string
	for _, h := range y.houses[:min(3, len(y.houses))] {
		seeds = append(seeds, y.ground.at(h.ip, portControl))
	}
	at := func(off int) string { return y.ground.at(d.ip, off) }
	return map[string]any{
		"node_name": d.name, "role": d.name, "ip": d.ip, "zone": d.zone, "region": zones[d.zone], "zones": zones,
		"bind_addresses":      map[string]string{"front": at(portFront), "readiness": at(portReadiness), "control": at(portControl)},
		"internal_port_range": []int{y.ground.port, y.ground.port + constants.PortGatePage}, "seed_nodes": seeds, "bootstrap": boot, "quorum_member": true,
		"limits": map[string]any{"memory_mb": constants.YardMemoryMB}, "data_dir": filepath.Join(y.dir, d.name), "heartbeat_ms": 1200,
		"fault_tolerance": map[string]any{"machine_losses": y.x.Fleet.MachineLosses},
		"bounds": map[string]any{"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 3000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
			"retry_slack": 60, "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "pass_ms": 120},
		"cloud_api": map[string]any{"address": y.listAt, "rate_per_s": y.x.Platform.Rate, "max_lag_ms": y.x.Platform.LagMs},
	}
}

func (y *yard) write(d *daemon, boot bool) error {
	d.file = filepath.Join(y.dir, d.name+".yaml")
	b, err := yaml.Marshal(y.settings(d, boot))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "settings")
	}
	return errkind.Wrap(errkind.Internal, os.WriteFile(d.file, b, 0o600), "settings")
}

// start starts a daemon from its settings file.
func (y *yard) start(d *daemon) error {
	w := &wire{zone: d.zone, zoneOf: func(ip string) string { return y.ground.zones[ip] }, delay: clock.Millis(y.x.Fleet.ZoneDelayMs)}
	return d.start(y.sc, w)
}

// start reads the settings file and runs the daemon that its name tells, with the real packages, in this process.
func (d *daemon) start(sc *task.Scope, w *wire) error {
	house := strings.HasPrefix(d.name, "controller")
	e, err := settings.LoadFile(d.file, settings.Need{Front: !house, Control: house})
	if err != nil {
		return err
	}
	d.wire, d.sc = w, sc.Part(d.name)
	if house {
		st, err := store.Open(store.OSFiles{}, e.DataDir, e.Bootstrap)
		if err != nil {
			return err
		}
		h, err := controller.New(d.sc, controller.Plan{Env: e, Net: w, Store: st})
		if err != nil {
			return err
		}
		d.d = h
	} else {
		d.d = router.New(d.sc, router.Plan{Env: e, Net: w, Dialer: w})
	}
	d.done = make(chan error, 1)
	go func() { d.done <- d.d.Run() }()
	return nil
}

// stop ends a daemon without a farewell and waits for its end.
func (d *daemon) stop() {
	if d.sc == nil {
		return
	}
	d.sc.Stop()
	<-d.done
	d.sc = nil
}

// startAll starts the daemons.
func (y *yard) startAll() error {
	for _, d := range append(append([]*daemon{}, y.houses...), y.gates...) {
		if err := y.start(d); err != nil {
			return err
		}
	}
	return nil
}

// await looks again and again until something is so, or says that it never was.
func await(sc *task.Scope, d clock.Span, what string, so func() bool) error {
	for end := clock.Now().Add(d); ; {
		if so() {
			return nil
		}
		if clock.Now().After(end) {
			return errkind.New(errkind.Unready, "%s within %s", what, d)
		}
		if !clock.Rest(sc, constants.YardLook) {
			return errInterrupted
		}
	}
}

var errInterrupted = errkind.New(errkind.Unready, "interrupted")

// awaitReplicas waits until every replica answers that it is well.
func (y *yard) awaitReplicas() error {
	for _, n := range y.order {
		r := y.replicas[n]
		if err := await(y.sc, clock.Seconds(y.x.Ready), "replica "+n+" did not start", func() bool { return status("http://"+r.at+healthPath) == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// awaitGates waits until routers call themselves ready.
func (y *yard) awaitGates(gs []*daemon) error {
	for _, g := range gs {
		select {
		case err := <-g.done: // nothing comes of a daemon in another process
			g.done <- err
			return errkind.Wrap(errkind.BadEnv, err, g.name+" ended")
		default:
		}
		if err := await(y.sc, clock.Seconds(y.x.Ready), g.name+" was not ready", func() bool {
			return status("http://"+y.ground.at(g.ip, portReadiness)+"/v1/readiness") == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

// probes is the client for what is asked of the emulated machines beside the traffic.
var probes = &http.Client{Timeout: constants.YardDial, Transport: &http.Transport{DisableKeepAlives: true}}

func status(url string) int {
	a, err := probes.Get(url)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

// close ends everything and removes what was written.
func (y *yard) close() {
	var wg sync.WaitGroup
	for _, d := range append(append([]*daemon{}, y.gates...), y.houses...) {
		wg.Add(1)
		go func() { defer wg.Done(); d.stop() }()
	}
	wg.Wait()
	y.sc.Stop()
	for _, r := range y.replicas {
		r.stop()
	}
	for _, s := range y.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(y.dir)
}

var _ rpc.Net = (*wire)(nil)
