package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/placement"
	"shaletrestle/internal/settings"
)

// Ports of every machine of a run; each machine has a loopback address of its own.
const (
	portFront = 19001 + iota
	portReadiness
	portControl
	portReplica
	portPlatform
	portFirstInternal
	portLastInternal = portFirstInternal + 15
)

// The size of the fleet: one loss is tolerated, and one controller more than that needs is there.
const (
	controllerCount  = 4
	toleratedLosses  = 1
	maxSeeds         = 3
	daemonMemoryMB   = 244
	firstController  = 11 // last octets of the addresses
	spareController  = 19
	firstRouter      = 21
	firstReplica     = 131 // the addresses before it are for routers
	maxRouters       = firstReplica - firstRouter
	platformAddress  = 2
	contactMs        = 3000
	graceSeconds     = 6
	configApplyMs    = 2000
	platformLagMs    = 300
	platformRatePerS = 60
)

var zones = []string{"a", "b", "c"}

// fleet are the processes of a run and the faults of the paths between them.
type fleet struct {
	prefix string // of all addresses, "127.x.y."
	dir    string
	bin    string

	mu          sync.Mutex
	controllers []*process
	routers     []*process
	faults      linkFaults
	lastOctet   int // of the newest controller
}

// linkFaults is the file that the injected package reads. A link is "FROM TO".
type linkFaults struct {
	Cut     map[string]bool    `json:"cut"`
	DelayMs map[string]float64 `json:"delay_ms"`
	Disk    map[string]string  `json:"disk"`
}

// newFleet makes the processes, without starting them. With shared machines, routers and controllers stand at the same addresses
// as far as both go.
func newFleet(prefix, dir, bin string, routers int, shared bool) (*fleet, error) {
	f := &fleet{
		prefix:    prefix,
		dir:       dir,
		bin:       bin,
		lastOctet: spareController,
		faults:    linkFaults{Cut: map[string]bool{}, DelayMs: map[string]float64{}, Disk: map[string]string{}},
	}
	for i := range controllerCount {
		f.controllers = append(f.controllers, f.newProcess(programController, fmt.Sprintf("controller-%d", i+1), firstController+i))
	}
	for i := range routers {
		lastOctet := firstRouter + i
		if shared && i < controllerCount {
			lastOctet = firstController + i
		}
		f.routers = append(f.routers, f.newProcess(programRouter, fmt.Sprintf("router-%d", i+1), lastOctet))
	}
	for _, each := range f.all() {
		if err := f.writeSettings(each, true, f.seeds()); err != nil {
			return nil, err
		}
	}
	return f, f.writeFaults()
}

func (f *fleet) newProcess(program, name string, lastOctet int) *process {
	return &process{
		name:    name,
		program: program,
		ip:      f.prefix + strconv.Itoa(lastOctet),
		zone:    zones[lastOctet%len(zones)],
		dir:     filepath.Join(f.dir, name),
		binary:  filepath.Join(f.bin, program),
		faults:  f.faultFile(),
	}
}

func (f *fleet) faultFile() string { return filepath.Join(f.dir, "faults.json") }

// all lists the processes.
func (f *fleet) all() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.controllers, f.routers)
}

func (f *fleet) controllerList() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.controllers)
}

// seeds are the control addresses of the first controllers.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, each := range f.controllerList() {
		seeds = append(seeds, address(each.ip, portControl))
	}
	return seeds[:min(maxSeeds, len(seeds))]
}

// replaceController takes a controller out of the list and adds a new one in its place, with an empty disk and another
// address.
func (f *fleet) replaceController(old *process) *process {
	f.mu.Lock()
	f.lastOctet--
	number := f.lastOctet
	f.mu.Unlock()
	added := f.newProcess(programController, fmt.Sprintf("controller-at-%d", number), number)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers = append(slices.DeleteFunc(slices.Clone(f.controllers), func(p *process) bool { return p == old }), added)
	return added
}

// mayReplace reports whether there are addresses left for another controller.
func (f *fleet) mayReplace() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastOctet > firstController+controllerCount
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settingsOf are a process's settings, as the platform would give them.
func (f *fleet) settingsOf(p *process, bootstrap bool, seeds []string) settings.Settings {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region"
	}
	return settings.Settings{
		NodeName:     p.name,
		Role:         p.program,
		IP:           p.ip,
		Zone:         p.zone,
		Region:       "region",
		Zones:        regions,
		Bind:         settings.BindAddresses{Front: address(p.ip, portFront), Readiness: address(p.ip, portReadiness), Control: address(p.ip, portControl)},
		Ports:        []int{portFirstInternal, portLastInternal},
		Seeds:        seeds,
		Bootstrap:    bootstrap,
		QuorumMember: p.program == programController,
		Limits:       settings.Limits{MemoryMB: daemonMemoryMB},
		DataDir:      p.dataDir(),
		HeartbeatMs:  1200,
		Contracts:    []string{"base", settings.ContractApart},
		Tolerance:    settings.Tolerance{Machines: toleratedLosses},
		Bounds: settings.Bounds{
			ContactMs: contactMs, AckMs: 4000, DrainMs: 3000, GraceS: graceSeconds, ConfigApplyMs: configApplyMs,
			BudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 60, ColdOvershoot: 1.5, ColdSlack: 5, EvacuateMs: 5000, PassMs: 120,
		},
		Cloud:     settings.CloudAPI{Address: address(f.prefix+strconv.Itoa(platformAddress), portPlatform), RatePerS: platformRatePerS, MaxLagMs: platformLagMs},
		Placement: placement.Defaults(),
	}
}

// writeSettings writes a process's settings file at once, as a new file in place of the old.
func (f *fleet) writeSettings(p *process, bootstrap bool, seeds []string) error {
	if err := os.MkdirAll(p.dataDir(), 0o700); err != nil {
		return err
	}
	content, err := yaml.Marshal(f.settingsOf(p, bootstrap, seeds))
	if err != nil {
		return err
	}
	return replaceFile(p.settingsFile(), content)
}

func replaceFile(path string, content []byte) error {
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// changeFaults changes the faults of paths and disks, and puts them in force.
func (f *fleet) changeFaults(change func(*linkFaults)) error {
	f.mu.Lock()
	change(&f.faults)
	f.mu.Unlock()
	return f.writeFaults()
}

func (f *fleet) writeFaults() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	content, err := json.Marshal(f.faults)
	if err != nil {
		return err
	}
	return replaceFile(f.faultFile(), content)
}

// Troubles of a disk.
const (
	diskFull    = "full"
	diskSlow    = "slow"
	diskStalled = "stalled"
)

// setDisk puts the disk of a process's machine in trouble; without one it is sound.
func (f *fleet) setDisk(p *process, trouble string) error {
	return f.changeFaults(func(faults *linkFaults) { faults.Disk[p.ip] = trouble })
}

// disturb marks all processes on the machines of some as disturbed for a time from now.
func (f *fleet) disturb(some []*process, duration time.Duration) {
	for _, each := range f.all() {
		if slices.ContainsFunc(some, func(p *process) bool { return p.ip == each.ip }) {
			each.disturb(duration)
		}
	}
}

// cut cuts or joins what some addresses send to others.
func (f *fleet) cut(from, to []*process, cut bool) error {
	return f.changeFaults(func(faults *linkFaults) {
		for _, a := range from {
			for _, b := range to {
				if a.ip == b.ip {
					continue
				}
				if cut {
					faults.Cut[a.ip+" "+b.ip] = true
				} else {
					delete(faults.Cut, a.ip+" "+b.ip)
				}
			}
		}
	})
}
