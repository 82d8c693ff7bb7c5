package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// size is what a plant is built to, and what a slope grows.
type size struct {
	Nodes    int     `json:"nodes"`
	Houses   int     `json:"controllers"`     // one a zone, in the first zones
	Zones    int     `json:"zones,omitempty"` // 0: as many as controllers
	Replicas int     `json:"replicas"`
	Models   int     `json:"models"` // one service each
	Routes   int     `json:"routes"`
	Tenants  int     `json:"tenants"` // hosts that the routes are spread over
	DelayMs  float64 `json:"one_way_ms"`
	Changes  float64 `json:"changes_per_minute"`
	Churn    float64 `json:"replica_changes_per_minute"`
}

// plant is a fleet of hollow nodes: real routers without clients, in one process, and real controllers, each in its own. The list is made up; nothing is ever sent to its replicas.
type plant struct {
	*yard
	s      size
	hold   func() (*cell, error)
	nodes  *cell
	house  []*cell
	mu     sync.Mutex
	list   []*state.Replica
	window clock.Span // of measuring; half of it is left alone before
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// madeList is a list of replicas that do not exist, spread over models and zones.
func madeList(n, models, zones int) (out []*state.Replica) {
	for i := range n {
		out = append(out, &state.Replica{ID: fmt.Sprintf("i-%08x", i*2654435761), Pool: modelName(i % models), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i/40000, i/200%200, i%200+1),
			Locality: zoneName(i % zones), Software: "v1", Slots: 128, State: "ready", Stage: "dual", Models: []state.Model{{Name: modelName(i % models), Revision: 1}}})
	}
	return
}

func newPlant(sc *task.Scope, s size, hold func() (*cell, error), window clock.Span) (*plant, error) {
	x := &Experiment{Name: "plant", Duration: constants.YardDuration, Ready: 4 * constants.YardReadyWait.Seconds(),
		Fleet: FleetSpec{Controllers: s.Houses, Routers: s.Nodes, MachineLosses: min(1, s.Houses/3)}, Platform: ListSpec{Page: 200}}
	for i := range max(s.Houses, s.Zones) {
		x.Fleet.Zones = append(x.Fleet.Zones, zoneName(i))
	}
	x.fill()
	p := &plant{s: s, hold: hold, window: window}
	p.list = madeList(s.Replicas, s.Models, max(s.Houses, s.Zones))
	y, err := newYard(sc, x, p.listed)
	if err != nil {
		return nil, err
	}
	p.yard = y
	if err := p.begin(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *plant) listed() []*state.Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*state.Replica{}, p.list...)
}

// flip changes one replica: it becomes cold or warm.
func (p *plant) flip() {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := rand.IntN(len(p.list))
	r := *p.list[i]
	if r.ColdMs > 0 {
		r.ColdMs = 0
	} else {
		r.ColdMs = 3000
	}
	p.list[i] = &r
}

func (p *plant) seats(ds []*daemon) (out []seat) {
	for _, d := range ds {
		out = append(out, seat{d.name, d.file, d.zone})
	}
	return
}

func (p *plant) tell(c *cell, do string, ds []*daemon) error {
	_, err := c.say(word{Do: do, Seats: p.seats(ds), Zones: p.ground.zones, DelayMs: p.s.DelayMs})
	return err
}

// begin starts everything and waits until all nodes are ready.
func (p *plant) begin() error {
	var err error
	if p.nodes, err = p.hold(); err != nil {
		return err
	}
	for range p.houses {
		c, err := p.hold()
		if err != nil {
			return err
		}
		p.house = append(p.house, c)
	}
	for i, h := range p.houses {
		if err := p.tell(p.house[i], "start", []*daemon{h}); err != nil {
			return err
		}
	}
	if _, err := p.operator.order(p.sc, "PUT", p.s.setup(), clock.Seconds(p.x.Ready)); err != nil {
		return err
	}
	if err := p.tell(p.nodes, "start", p.gates); err != nil {
		return err
	}
	return p.awaitGates(p.gates)
}

// setup is a configuration of a size.
func (s size) setup() map[string]any {
	routes, pools := []any{}, []any{}
	for i := range s.Routes {
		routes = append(routes, s.route(i, 10000))
	}
	for i := range s.Models {
		pools = append(pools, map[string]any{"name": modelName(i), "health_check_path": healthPath, "max_connections": 600, "protocol": "h1", "tls": false, "warmup_s": 3, "warmup_per_s": 20,
			"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 729140, "kv_token_bytes": 18432, "link_mbps": 370000, "stride": 6, "models": []any{map[string]any{"name": modelName(i)}}}})
	}
	return map[string]any{"route_table": routes, "backend_pools": pools, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

func (s size) route(i int, timeout int) map[string]any {
	return map[string]any{"name": fmt.Sprintf("r-%05d", i), "hostname": fmt.Sprintf("tenant-%03d.example", i%max(1, s.Tenants)), "path_prefix": fmt.Sprintf("/p%05d/", i), "route_type": "streaming", "timeout_ms": timeout,
		"target_latency_ms": 800, "priority": i % 3, "backend_pool": modelName(i % s.Models), "max_attempts": 2, "session_affinity": true, "stream_resume": true, "target_gap_ms": 400}
}

// tally is what a controller's state page says.
type tallyPage struct {
	Tally struct {
		Active bool `json:"active"`
		View   *struct {
			Backups   []struct{ Address string }
			Witnesses []struct{ Address string }
		} `json:"view"`
	} `json:"tally"`
	News struct {
		Number uint64 `json:"number"`
		Acked  uint64 `json:"acked"`
	} `json:"news"`
	Fleet int  `json:"fleet"`
	Duty  bool `json:"list_duty"`
}

func (p *plant) page(h *daemon) (*tallyPage, error) {
	a, err := probes.Get("http://" + p.ground.at(h.ip, constants.PortTallyPage))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unready, err, "page")
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unready, err, "page")
	}
	t := &tallyPage{}
	return t, errkind.Wrap(errkind.Unready, json.Unmarshal(b, t), "page")
}

// roles tells which controller is what: primary, backup, witness (in neither place) or relay (the others).
func (p *plant) roles() (map[string]int, *tallyPage, error) {
	for i, h := range p.houses {
		t, err := p.page(h)
		if err != nil || !t.Tally.Active || t.Tally.View == nil {
			continue
		}
		out := map[string]int{"primary": i}
		for n, o := range p.houses {
			at := p.ground.at(o.ip, constants.PortTally)
			role := "relay"
			for _, w := range t.Tally.View.Witnesses {
				if w.Address == at {
					role = "witness"
				}
			}
			if n == i {
				continue
			}
			for _, b := range t.Tally.View.Backups {
				if b.Address == at {
					role = "backup"
				}
			}
			if _, ok := out[role]; !ok {
				out[role] = n
			}
		}
		return out, t, nil
	}
	return nil, nil, errkind.New(errkind.Unready, "no primary")
}

// settled waits until there is a primary and tells who is what.
func (p *plant) settled() (roles map[string]int, err error) {
	err = await(p.sc, clock.Seconds(p.x.Ready), "there was no primary", func() bool {
		r, _, err := p.roles()
		roles = r
		return err == nil
	})
	return
}

// force makes one change and gives the time until every connected node has it in force.
func (p *plant) force(n int) (clock.Span, error) {
	at := clock.Now()
	body := map[string]any{"upsert": map[string]any{"route_table": []any{p.s.route(n%p.s.Routes, 10001+n)}}}
	if _, err := p.operator.order(p.sc, "PATCH", body, clock.Seconds(p.x.Ready)); err != nil {
		return 0, err
	}
	err := await(p.sc, clock.Seconds(p.x.Ready), "a change was not in force", func() bool {
		_, t, err := p.roles()
		return err == nil && t.News.Acked == t.News.Number
	})
	return clock.Since(at), err
}

// values is what one point of a series measured, by name.
type values map[string]float64

// measure looks at the plant for a while: first quiet, with the changes and the churn of its size, then with a few changes one after the other whose way is timed.
func (p *plant) measure() (values, error) {
	if !clock.Rest(p.sc, p.window/2) {
		return nil, errInterrupted
	}
	roles, err := p.settled()
	if err != nil {
		return nil, err
	}
	a, err := p.readAll()
	if err != nil {
		return nil, err
	}
	busy := p.sc.Part("busy")
	var wg sync.WaitGroup
	changed := 0
	if p.s.Changes > 0 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			clock.Every(busy, clock.Seconds(60/p.s.Changes), func() bool {
				changed++
				body := map[string]any{"upsert": map[string]any{"route_table": []any{p.s.route(changed%p.s.Routes, 20000+changed)}}}
				_, _ = p.operator.order(p.sc, "PATCH", body, clock.Seconds(p.x.Ready)) // one that was begun is seen through
				return true
			})
		}()
	}
	if p.s.Churn > 0 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			clock.Every(busy, clock.Seconds(60/p.s.Churn), func() bool { p.flip(); return true })
		}()
	}
	rested := clock.Rest(p.sc, p.window)
	busy.Stop()
	wg.Wait()
	if !rested {
		return nil, errInterrupted
	}
	b, err := p.readAll()
	if err != nil {
		return nil, err
	}
	v := values{"machine_load": machineLoad()}
	n := float64(len(p.gates))
	v.add("node", a[0], b[0], n)
	for role, i := range roles {
		v.add(role, a[1+i], b[1+i], 1)
	}
	var took []float64
	for i := range constants.YardTimed {
		d, err := p.force(i)
		if err != nil {
			return nil, err
		}
		took = append(took, millis(d))
	}
	sort.Float64s(took)
	v["in_force_ms_least"], v["in_force_ms_median"], v["in_force_ms_mean"], v["in_force_ms_most"] = took[0], took[len(took)/2], mean(took), most(took)
	return v, nil
}

// machineLoad is what else the machine does: times measured on a full one are too long.
func machineLoad() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	one, _, _ := strings.Cut(string(b), " ")
	f, _ := strconv.ParseFloat(one, 64)
	return f
}

func mean(xs []float64) (s float64) {
	for _, x := range xs {
		s += x / float64(len(xs))
	}
	return
}

func most(xs []float64) (m float64) {
	for _, x := range xs {
		m = max(m, x)
	}
	return
}

// readAll reads the nodes' cell and then each controller's.
func (p *plant) readAll() ([]reading, error) {
	var out []reading
	for _, c := range append([]*cell{p.nodes}, p.house...) {
		r, err := c.say(word{Do: "read"})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// add turns two readings of a cell into what one of its n daemons uses.
func (v values) add(role string, a, b reading, n float64) {
	s := b.at.Sub(a.at).Seconds() * n
	v[role+"_cpu_percent"] = 100 * (b.Cpu - a.CpuNext) / s
	v[role+"_heap_kb"] = (b.Heap + b.Stacks) / 1024 / n
	v[role+"_goroutines"] = float64(b.Tasks) / n
	v[role+"_in_bytes_per_s"] = grown(a.In, b.In) / s
	v[role+"_out_bytes_per_s"] = grown(a.Out, b.Out) / s
}

func grown(a, b map[string]int64) (sum float64) {
	for n, x := range b {
		sum += float64(x - a[n])
	}
	return
}

// close ends the cells, then the rest.
func (p *plant) close() {
	for _, c := range append([]*cell{p.nodes}, p.house...) {
		if c != nil {
			c.close()
		}
	}
	p.yard.close()
}
