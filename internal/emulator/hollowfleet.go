package emulator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/state"
)

// fleetSize is what a hollow fleet is built to, and what a series grows.
type fleetSize struct {
	Nodes       int     `json:"nodes"`
	Controllers int     `json:"controllers"`     // one a zone, in the first zones
	Zones       int     `json:"zones,omitempty"` // 0: as many as controllers
	Replicas    int     `json:"replicas"`
	Models      int     `json:"models"` // one service each
	Routes      int     `json:"routes"`
	Tenants     int     `json:"tenants"` // hosts that the routes are spread over
	DelayMs     float64 `json:"one_way_ms"`
	Changes     float64 `json:"changes_per_minute"`
	Churn       float64 `json:"replica_changes_per_minute"`
}

func (s fleetSize) zones() int { return max(s.Controllers, s.Zones) }

// hollowFleet is a fleet of hollow nodes: real routers without clients, in one
// process, and real controllers, each in its own. The list is made up; nothing is
// ever sent to its replicas.
type hollowFleet struct {
	*testbed
	size            fleetSize
	start           newCell
	nodeCell        *cell   // of the routers
	controllerCells []*cell // in the order of the controllers
	window          time.Duration

	mu   sync.Mutex
	list []*state.Replica
}

// Values that make up a hollow fleet.
const (
	readyFactor  = 4   // times the usual time to be ready
	listPageSize = 200 // entries
	coldMs       = 3000
	replicaSlots = 128
)

// newHollowFleet starts a fleet. The window is how long it is measured; half of it
// is left alone before.
func newHollowFleet(ctx context.Context, log *slog.Logger, size fleetSize, start newCell, window time.Duration) (*hollowFleet, error) {
	experiment := &Experiment{
		Name:      "plant",
		DurationS: maxDurationS,
		ReadyS:    readyFactor * defaultReadyTimeout.Seconds(),
		Fleet: FleetSpec{
			Controllers:   size.Controllers,
			Routers:       size.Nodes,
			MachineLosses: min(1, size.Controllers/3),
		},
		Platform: ListSpec{Page: listPageSize},
	}
	for i := range size.zones() {
		experiment.Fleet.Zones = append(experiment.Fleet.Zones, zoneName(i))
	}
	experiment.setDefaults()
	fleet := &hollowFleet{
		size:   size,
		start:  start,
		window: window,
		list:   madeUpReplicas(size.Replicas, size.Models, size.zones()),
	}
	bed, err := newTestbed(ctx, log, experiment, fleet.listed)
	if err != nil {
		return nil, err
	}
	fleet.testbed = bed
	if err := fleet.startAll(); err != nil {
		fleet.close()
		return nil, err
	}
	return fleet, nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// madeUpReplicas is a list of replicas that do not exist, spread over models and
// zones.
func madeUpReplicas(count, models, zones int) []*state.Replica {
	var replicas []*state.Replica
	for i := range count {
		model := modelName(i % models)
		replicas = append(replicas, &state.Replica{
			ID:               fmt.Sprintf("i-%08x", i*2654435761), // spreads the ids
			Pool:             model,
			Address:          fmt.Sprintf("10.%d.%d.%d:8080", i/40000, i/200%200, i%200+1),
			Zone:             zoneName(i % zones),
			SoftwareRevision: softwareVersion,
			Slots:            replicaSlots,
			State:            string(replicaReady),
			Stage:            stageDual,
			Models:           []state.Model{{Name: model, Revision: firstRevision}},
		})
	}
	return replicas
}

// listed is what the platform lists.
func (f *hollowFleet) listed() []*state.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// changeReplica changes one replica: it becomes cold or warm.
func (f *hollowFleet) changeReplica() {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := rand.IntN(len(f.list))
	changed := *f.list[i]
	if changed.WarmupLeftMs > 0 {
		changed.WarmupLeftMs = 0
	} else {
		changed.WarmupLeftMs = coldMs
	}
	f.list[i] = &changed
}

// commandCell has a cell start or stop daemons.
func (f *hollowFleet) commandCell(cell *cell, do string, daemons []*daemon) error {
	sent := command{Do: do, Zones: f.addresses.zones, DelayMs: f.size.DelayMs}
	for _, daemon := range daemons {
		sent.Daemons = append(sent.Daemons, daemonSpec{Name: daemon.name, File: daemon.file, Zone: daemon.zone})
	}
	_, err := cell.do(sent)
	return err
}

func (f *hollowFleet) commandController(index int, do string) error {
	return f.commandCell(f.controllerCells[index], do, []*daemon{f.controllers[index]})
}

// startAll starts everything and waits until all nodes are ready.
func (f *hollowFleet) startAll() error {
	if err := f.startCells(); err != nil {
		return err
	}
	for i := range f.controllers {
		if err := f.commandController(i, commandStart); err != nil {
			return err
		}
	}
	if _, err := f.operator.put(f.ctx, f.size.configuration(), f.readyTimeout()); err != nil {
		return err
	}
	if err := f.commandCell(f.nodeCell, commandStart, f.routers); err != nil {
		return err
	}
	return f.awaitRouters(f.routers)
}

func (f *hollowFleet) startCells() error {
	var err error
	f.nodeCell, err = f.start()
	if err != nil {
		return err
	}
	for range f.controllers {
		started, err := f.start()
		if err != nil {
			return err
		}
		f.controllerCells = append(f.controllerCells, started)
	}
	return nil
}

// configuration is the one of a size.
func (s fleetSize) configuration() *configuration {
	config := &configuration{Limits: defaultLimits()}
	for i := range s.Routes {
		config.RouteTable = append(config.RouteTable, s.route(i, 10000))
	}
	for i := range s.Models {
		config.BackendPools = append(config.BackendPools, hollowPool(modelName(i)))
	}
	return config
}

func hollowPool(model string) poolConfig {
	return poolConfig{
		Engine: &engineConfig{
			KvCapacityTokens: modelCapacity,
			KvTokenBytes:     kvTokenBytes,
			LinkMbps:         370000,
			Models:           []modelConfig{{Name: model}},
			Slots:            replicaSlots,
			Stride:           6,
		},
		HealthCheckPath: healthPath,
		MaxConnections:  600,
		Name:            model,
		Protocol:        protocolHTTP1,
		WarmupPerS:      20,
		WarmupS:         3,
	}
}

// modelCapacity is the memory of a replica of a hollow fleet, in tokens.
const modelCapacity = 729140

// route is the i-th route, with a timeout in ms.
func (s fleetSize) route(i, timeout int) routeConfig {
	return routeConfig{
		BackendPool:     modelName(i % s.Models),
		Hostname:        fmt.Sprintf("tenant-%03d.example", i%max(1, s.Tenants)),
		MaxAttempts:     2,
		Name:            fmt.Sprintf("r-%05d", i),
		PathPrefix:      fmt.Sprintf("/p%05d/", i),
		Priority:        i % 3,
		RouteType:       typeStreaming,
		SessionAffinity: true,
		StreamResume:    true,
		TargetGapMs:     400,
		TargetLatencyMs: 800,
		TimeoutMs:       float64(timeout),
	}
}

// changeRoute changes the timeout of one route.
func (f *hollowFleet) changeRoute(number, timeout int) (time.Duration, error) {
	return f.operator.patch(f.ctx, f.size.route(number%f.size.Routes, timeout), f.readyTimeout())
}

// changeSteadily makes the changes of the fleet's size until the context ends.
func (f *hollowFleet) changeSteadily(ctx context.Context) *sync.WaitGroup {
	var changing sync.WaitGroup
	if f.size.Changes > 0 {
		number := 0
		changing.Go(func() {
			wait.Every(ctx, durations.FromSeconds(secondsPerMinute/f.size.Changes), func() bool {
				number++
				_, _ = f.changeRoute(number, 20000+number) // one that was begun is finished
				return true
			})
		})
	}
	if f.size.Churn > 0 {
		changing.Go(func() {
			wait.Every(ctx, durations.FromSeconds(secondsPerMinute/f.size.Churn), func() bool {
				f.changeReplica()
				return true
			})
		})
	}
	return &changing
}

// cells lists the nodes' cell and then each controller's.
func (f *hollowFleet) cells() []*cell {
	return append([]*cell{f.nodeCell}, f.controllerCells...)
}

// close ends the cells, then the rest.
func (f *hollowFleet) close() {
	for _, cell := range f.cells() {
		if cell != nil {
			cell.close()
		}
	}
	f.testbed.close()
}
