// Package settings reads and checks the settings that the platform gives a process.
package settings

import (
	"math"
	"net"
	"os"
	"reflect"
	"strconv"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
)

// Env is the settings file. Unknown fields are ignored.
type Env struct {
	NodeName  string            `yaml:"node_name"`
	Role      string            `yaml:"role"`
	Serves    []string          `yaml:"serves"`
	IP        string            `yaml:"ip"`
	Locality  string            `yaml:"zone"`
	Region    string            `yaml:"region"`
	Zones     map[string]string `yaml:"zones"`
	Bind      Bind              `yaml:"bind_addresses"`
	Ports     []int             `yaml:"internal_port_range"`
	Seeds     []string          `yaml:"seed_nodes"`
	Bootstrap bool              `yaml:"bootstrap"`
	Quorum    bool              `yaml:"quorum_member"`
	Limits    Limits            `yaml:"limits"`
	DataDir   string            `yaml:"data_dir"`
	BeatMs    float64           `yaml:"heartbeat_ms"`
	Tolerance Tolerance         `yaml:"fault_tolerance"`
	Bounds    Bounds            `yaml:"bounds"`
	Cloud     Cloud             `yaml:"cloud_api"`
	Calendar  string            `yaml:"maintenance_calendar"`
	Placement placement.Options `yaml:"placement"`
	LongWork  LongWork          `yaml:"long_work"`
}

// LongWork is the optional section on long work between nodes; what is 0 takes its usual value.
type LongWork struct {
	Enabled    bool    `yaml:"enabled"`
	Patient    float64 `yaml:"patient"`     // aims
	Heavy      float64 `yaml:"heavy"`       // aims
	Takes      int     `yaml:"takes"`       // jobs of others at once
	Always     bool    `yaml:"always"`      // hand over whenever a neighbour has room, not only when crowded
	OtherZones bool    `yaml:"other_zones"` // also to neighbours of other localities
}

func (l *LongWork) check() string {
	for _, x := range []struct {
		f   string
		v   *float64
		def float64
	}{{"patient", &l.Patient, constants.LongPatient}, {"heavy", &l.Heavy, constants.LongHeavy}} {
		if *x.v < 0 || math.IsNaN(*x.v) || math.IsInf(*x.v, 0) {
			return x.f
		}
		if *x.v == 0 {
			*x.v = x.def
		}
	}
	if l.Takes < 0 || l.Takes > constants.LongTakeMost {
		return "takes"
	}
	if l.Takes == 0 {
		l.Takes = constants.LongTakes
	}
	return ""
}

// Bind holds the addresses to serve at.
type Bind struct {
	Front     string `yaml:"front"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"`
}

// Limits are the machine's.
type Limits struct {
	CPUShare float64 `yaml:"cpu_share"`
	MemoryMB float64 `yaml:"memory_mb"`
	MaxFds   int     `yaml:"max_fds"`
	LinkMbps float64 `yaml:"link_mbps"`
	DiskMB   float64 `yaml:"disk_mb"`
}

// Tolerance tells what may be lost at once.
type Tolerance struct {
	Machines int `yaml:"machine_losses"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"region_losses"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	ContactMs      float64 `yaml:"contact_ms"`
	AckMs          float64 `yaml:"ack_ms"`
	DrainMs        float64 `yaml:"drain_ms"`
	GraceS         float64 `yaml:"grace_s"`
	ConfigApplyMs  float64 `yaml:"config_apply_ms"`
	BudgetRatio    float64 `yaml:"retry_budget_ratio"`
	BudgetWindowS  float64 `yaml:"retry_window_s"`
	BudgetSlack    float64 `yaml:"retry_slack"`
	ColdOvershoot  float64 `yaml:"cold_overshoot"`
	ColdSlack      float64 `yaml:"cold_slack"`
	EvacuateMs     float64 `yaml:"evacuate_ms"`
	AddressReuseS  float64 `yaml:"address_reuse_s"`
	LossSlackMs    float64 `yaml:"loss_slack_ms"`
	PassMs         float64 `yaml:"pass_ms"`
	RecoverS       float64 `yaml:"recover_s"`
	StretchMaxMs   float64 `yaml:"stretch_max_ms"`
	RevertSlackMs  float64 `yaml:"revert_slack_ms"`
	SyncS          float64 `yaml:"sync_s"`
	SeedLagSeconds float64 `yaml:"seed_lag_s"`
}

// Cloud tells where the platform's list is.
type Cloud struct {
	Address  string  `yaml:"address"`
	RatePerS float64 `yaml:"rate_per_s"`
	MaxLagMs float64 `yaml:"max_lag_ms"`
}

// Need says which duties of a program the settings must allow.
type Need struct {
	Front, Control bool
}

// LoadFile reads and checks one file.
func LoadFile(p string, n Need) (*Env, error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadEnv, err, "settings file")
	}
	return Parse(b, n)
}

// Parse reads and checks settings.
func Parse(b []byte, n Need) (*Env, error) {
	e := &Env{Placement: placement.Defaults()}
	if err := yaml.Unmarshal(b, e); err != nil {
		return nil, errkind.Wrap(errkind.BadEnv, err, "settings file")
	}
	return e, e.check(n)
}

func (e *Env) check(n Need) error {
	bad := func(f, why string) error { return errkind.New(errkind.BadEnv, "settings: %s %s", f, why) }
	for _, x := range []struct{ f, v string }{{"node_name", e.NodeName}, {"ip", e.IP}, {"zone", e.Locality}} {
		if x.v == "" {
			return bad(x.f, "is missing")
		}
	}
	if net.ParseIP(e.IP) == nil {
		return bad("ip", "is not an address: "+strconv.Quote(e.IP))
	}
	if len(e.Ports) != 2 || e.Ports[0] < 1 || e.Ports[1] > 65535 || e.Ports[1]-e.Ports[0] < constants.PortGatePage {
		return bad("internal_port_range", "needs two ports at least four apart")
	}
	if len(e.Seeds) == 0 {
		return bad("seed_nodes", "is missing")
	}
	at := map[string]string{}
	if n.Front {
		at["bind_addresses.front"], at["bind_addresses.readiness"] = e.Bind.Front, e.Bind.Readiness
	}
	if n.Control {
		at["bind_addresses.control"], at["cloud_api.address"] = e.Bind.Control, e.Cloud.Address
		if e.Quorum && e.DataDir == "" {
			return bad("data_dir", "is missing")
		}
		if t := e.Tolerance; min(t.Machines, t.Zones, t.Regions) < 0 || max(t.Machines, t.Zones, t.Regions) > constants.LossesMost {
			return bad("fault_tolerance", "must be between 0 and "+strconv.Itoa(constants.LossesMost))
		}
	}
	for i, s := range e.Seeds {
		at["seed_nodes["+strconv.Itoa(i)+"]"] = s
	}
	for f, a := range at {
		if a == "" {
			return bad(f, "is missing")
		}
		if _, _, err := net.SplitHostPort(a); err != nil {
			return bad(f, "is not an address and port: "+strconv.Quote(a))
		}
	}
	if e.Limits.MemoryMB <= 0 {
		return bad("limits.memory_mb", "must be above 0")
	}
	if f := firstBad(e.Bounds); f != "" {
		return bad("bounds."+f, "must be a number of 0 or more")
	}
	if f := e.LongWork.check(); f != "" {
		return bad("long_work."+f, "is out of bounds")
	}
	if e.Bounds.ContactMs == 0 {
		return bad("bounds.contact_ms", "is missing")
	}
	return e.Placement.Check()
}

func firstBad(b Bounds) string {
	v := reflect.ValueOf(b)
	for i := range v.NumField() {
		if f := v.Field(i).Float(); f < 0 || math.IsNaN(f) || math.IsInf(f, 0) {
			return v.Type().Field(i).Tag.Get("yaml")
		}
	}
	return ""
}

// Keeps tells whether this machine's disk counts for the control state.
func (e *Env) Keeps() bool { return e.Quorum && e.DataDir != "" }

// Losses is the number of control members whose loss at once must be borne: machines, or as many members as the zones or regions that may go hold when 2 x losses + 1 witnesses are spread over all. ok is false if no number bears it, as with two zones of which one may go; then the machines count.
func (e *Env) Losses() (n int, ok bool) {
	regions := map[string]bool{}
	for _, r := range e.Zones {
		regions[r] = true
	}
	least := max(e.Tolerance.Machines, e.Tolerance.Zones, e.Tolerance.Regions)
	for n = least; n <= constants.LossesMost; n++ {
		if e.Tolerance.Zones*share(2*n+1, len(e.Zones)) <= n && e.Tolerance.Regions*share(2*n+1, len(regions)) <= n {
			return n, true
		}
	}
	return least, false
}

func share(members, places int) int { return (members + max(places, 1) - 1) / max(places, 1) }

// Port gives one of our own ports.
func (e *Env) Port(off int) string { return net.JoinHostPort(e.IP, strconv.Itoa(e.Ports[0]+off)) }

// CrewAddr turns a control address into the crew address of the same machine.
func (e *Env) CrewAddr(control string) string {
	h, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(h, strconv.Itoa(e.Ports[0]+constants.PortTally))
}

// ControlAddr turns a crew address into the control address of the same machine.
func (e *Env) ControlAddr(crew string) string {
	h, _, err := net.SplitHostPort(crew)
	_, p, err2 := net.SplitHostPort(e.Bind.Control)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(h, p)
}

// SeedCrew lists the crew addresses of the seeds.
func (e *Env) SeedCrew() []string {
	var out []string
	for _, s := range e.Seeds {
		if a := e.CrewAddr(s); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// Contact is contact_ms as a span.
func (e *Env) Contact() clock.Span { return clock.Millis(e.Bounds.ContactMs) }
