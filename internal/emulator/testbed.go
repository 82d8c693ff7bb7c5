package emulator

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
)

// daemonMemoryMB is memory_mb of the daemons' settings.
const daemonMemoryMB = 244

// maxSeeds is the number of controllers that the settings name as seeds.
const maxSeeds = 3

// testbed is everything that one experiment starts.
type testbed struct {
	ctx          context.Context
	log          *slog.Logger
	cancel       context.CancelFunc
	experiment   *Experiment
	dir          string // of the settings and the daemons' data
	addresses    *addressPool
	rules        *ruleChecker
	platform     *platform
	listAddress  string // of the platform
	replicas     map[string]*Replica
	replicaNames []string
	controllers  []*daemon
	routers      []*daemon
	servers      []*http.Server
	background   sync.WaitGroup // of the platform and its server
	operator     *operator
	partition    *partition
}

// newTestbed starts the stand-ins and writes the settings. Whatever is returned must
// be ended by close.
func newTestbed(ctx context.Context, log *slog.Logger, experiment *Experiment) (*testbed, error) {
	addresses, err := newAddressPool(experiment.Address, experiment.Port)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "emulator-")
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "temporary folder")
	}
	ctx, cancel := context.WithCancel(ctx)
	bed := &testbed{
		ctx:        ctx,
		cancel:     cancel,
		log:        log.With("part", "emulator"),
		experiment: experiment,
		dir:        dir,
		addresses:  addresses,
		rules:      newRuleChecker(),
		partition:  newPartition(),
		replicas:   map[string]*Replica{},
	}
	if err := bed.setUp(); err != nil {
		bed.close()
		return nil, err
	}
	return bed, nil
}

// setUp gives every part its machine and starts the stand-ins.
func (b *testbed) setUp() error {
	ip, err := b.addresses.machine("")
	if err != nil {
		return err
	}
	b.listAddress = b.addresses.address(ip, portReplica)
	if err := b.startReplicas(); err != nil {
		return err
	}
	if err := b.startPlatform(); err != nil {
		return err
	}
	b.controllers, err = b.newDaemons(roleController, b.experiment.Fleet.Controllers)
	if err != nil {
		return err
	}
	b.routers, err = b.newDaemons(roleRouter, b.experiment.Fleet.Routers)
	if err != nil {
		return err
	}
	b.operator = newOperator(b.controlAddresses(b.controllers))
	for _, daemon := range b.daemons() {
		if err := b.writeSettings(daemon, true); err != nil {
			return err
		}
	}
	return nil
}

// zone spreads what is numbered over the zones.
func (b *testbed) zone(number int) string {
	zones := b.experiment.Fleet.Zones
	return zones[number%len(zones)]
}

func (b *testbed) startReplicas() error {
	for i := range b.experiment.Services {
		service := &b.experiment.Services[i]
		for number := range service.Replicas {
			if err := b.startReplica(service, number); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *testbed) startReplica(service *Service, number int) error {
	zone := b.zone(number)
	ip, err := b.addresses.machine(zone)
	if err != nil {
		return err
	}
	name := replicaName(service.Name, number)
	address := b.addresses.address(ip, portReplica)
	replica := newReplica(b.ctx, b.rules, service, name, address, zone)
	b.replicas[name] = replica
	b.replicaNames = append(b.replicaNames, name)
	return replica.start(true)
}

func (b *testbed) startPlatform() error {
	b.platform = newPlatform(b.experiment.Platform, b.listReplicas)
	listener, err := listen(b.listAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b.platform, ReadHeaderTimeout: settings.HeaderTimeout}
	b.servers = append(b.servers, server)
	b.background.Go(func() { b.platform.run(b.ctx) })
	b.background.Go(func() { _ = server.Serve(listener) })
	return nil
}

// newDaemons gives daemons of a role their machines; they are not started.
func (b *testbed) newDaemons(role string, count int) ([]*daemon, error) {
	var daemons []*daemon
	for i := range count {
		zone := b.zone(i)
		ip, err := b.addresses.machine(zone)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%s-%d", role, i+1)
		daemons = append(daemons, &daemon{name: name, ip: ip, zone: zone})
	}
	return daemons, nil
}

// daemons lists the controllers, then the routers.
func (b *testbed) daemons() []*daemon { return slices.Concat(b.controllers, b.routers) }

// listReplicas is what the platform lists of the experiment's replicas.
func (b *testbed) listReplicas() []*state.Replica {
	var entries []*state.Replica
	for _, name := range b.replicaNames {
		if entry := b.replicas[name].entry(); entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

func (b *testbed) controlAddresses(controllers []*daemon) []string {
	var addresses []string
	for _, controller := range controllers {
		addresses = append(addresses, b.addresses.address(controller.ip, portControl))
	}
	return addresses
}

// settings are a daemon's, as the platform would give them.
func (b *testbed) settings(d *daemon, bootstrap bool) settings.Settings {
	regions := map[string]string{} // by zone
	for _, zone := range b.experiment.Fleet.Zones {
		regions[zone] = "region-" + zone
	}
	seeds := b.controllers[:min(maxSeeds, len(b.controllers))]
	firstPort := b.addresses.port
	return settings.Settings{
		NodeName: d.name,
		Role:     d.name,
		IP:       d.ip,
		Zone:     d.zone,
		Region:   regions[d.zone],
		Zones:    regions,
		Bind: settings.BindAddresses{
			Front:     b.addresses.address(d.ip, portFront),
			Readiness: b.addresses.address(d.ip, portReadiness),
			Control:   b.addresses.address(d.ip, portControl),
		},
		Ports:        []int{firstPort, firstPort + settings.RouterStatePortOffset},
		Seeds:        b.controlAddresses(seeds),
		Bootstrap:    bootstrap,
		QuorumMember: true,
		Limits:       settings.Limits{MemoryMB: daemonMemoryMB},
		DataDir:      filepath.Join(b.dir, d.name),
		HeartbeatMs:  1200,
		Contracts:    b.contracts(),
		Tolerance:    settings.Tolerance{Machines: b.experiment.Fleet.MachineLosses},
		Bounds:       usualBounds(),
		Cloud: settings.CloudAPI{
			Address:  b.listAddress,
			RatePerS: b.experiment.Platform.RatePerS,
			MaxLagMs: b.experiment.Platform.LagMs,
		},
		Placement: placement.Defaults(),
	}
}

// contracts are the parts of the rules that the daemons' settings name.
func (b *testbed) contracts() []string {
	if b.experiment.Tallies == nil {
		return nil
	}
	return []string{settings.ContractApart}
}

// usualBounds are the bounds in the daemons' settings.
func usualBounds() settings.Bounds {
	return settings.Bounds{
		ContactMs:     3000,
		AckMs:         4000,
		DrainMs:       3000,
		GraceS:        8,
		ConfigApplyMs: 2000,
		BudgetRatio:   0.2,
		BudgetWindowS: 10,
		BudgetSlack:   60,
		ColdOvershoot: 1.5,
		ColdSlack:     5,
		EvacuateMs:    5000,
		PassMs:        120,
	}
}

func (b *testbed) writeSettings(d *daemon, bootstrap bool) error {
	d.file = filepath.Join(b.dir, d.name+".yaml")
	content, err := yaml.Marshal(b.settings(d, bootstrap))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "settings")
	}
	return errkind.Wrap(errkind.Internal, os.WriteFile(d.file, content, 0o600), "settings")
}

// startDaemons starts the controllers, then the routers, in this process.
func (b *testbed) startDaemons() error {
	for _, daemon := range b.daemons() {
		network := &network{
			zone:   daemon.zone,
			zoneOf: b.addresses.zoneOf,
			delay:  durations.FromMilliseconds(b.experiment.Fleet.ZoneDelayMs),

			partition: b.partition,
		}
		if err := daemon.start(b.ctx, b.log, network); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything and removes what was written.
func (b *testbed) close() {
	var stopping sync.WaitGroup
	for _, daemon := range b.daemons() {
		stopping.Go(daemon.stop)
	}
	stopping.Wait()
	b.cancel()
	for _, replica := range b.replicas {
		replica.close()
	}
	for _, server := range b.servers {
		_ = server.Close()
	}
	b.background.Wait()
	_ = os.RemoveAll(b.dir)
}
