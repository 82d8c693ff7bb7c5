// Package settings reads and checks the settings that the platform gives a
// process, and holds the command line that the daemons share.
package settings

import (
	"os"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
)

// Settings is the content of the settings file. Unknown fields are ignored.
type Settings struct {
	NodeName    string            `yaml:"node_name"`
	Role        string            `yaml:"role"`
	Serves      []string          `yaml:"serves"`
	IP          string            `yaml:"ip"`
	Zone        string            `yaml:"zone"`
	Region      string            `yaml:"region"`
	Zones       map[string]string `yaml:"zones"`
	Bind        Bind              `yaml:"bind_addresses"`
	Ports       []int             `yaml:"internal_port_range"`
	Seeds       []string          `yaml:"seed_nodes"`
	Bootstrap   bool              `yaml:"bootstrap"`
	Quorum      bool              `yaml:"quorum_member"`
	Limits      Limits            `yaml:"limits"`
	DataDir     string            `yaml:"data_dir"`
	HeartbeatMs float64           `yaml:"heartbeat_ms"`
	Tolerance   Tolerance         `yaml:"fault_tolerance"`
	Bounds      Bounds            `yaml:"bounds"`
	Cloud       Cloud             `yaml:"cloud_api"`
	Calendar    string            `yaml:"maintenance_calendar"`
	Placement   placement.Options `yaml:"placement"`
	LongWork    LongWork          `yaml:"long_work"`
}

// LongWork is the optional section on long work between nodes; a field that is 0
// takes its default.
type LongWork struct {
	Enabled         bool    `yaml:"enabled"`
	PatientTargets  float64 `yaml:"patient"`     // multiple of the target latency
	HeavyTargets    float64 `yaml:"heavy"`       // multiple of the target latency
	MaxAcceptedJobs int     `yaml:"takes"`       // jobs of other nodes at once, at most
	Always          bool    `yaml:"always"`      // hand over whenever a neighbour has room, not only when overloaded
	OtherZones      bool    `yaml:"other_zones"` // also to neighbours in other zones
}

// Bind holds the addresses to serve at.
type Bind struct {
	Front     string `yaml:"front"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"`
}

// Limits are the resources of the machine.
type Limits struct {
	CPUShare float64 `yaml:"cpu_share"`
	MemoryMB float64 `yaml:"memory_mb"`
	MaxFds   int     `yaml:"max_fds"`
	LinkMbps float64 `yaml:"link_mbps"`
	DiskMB   float64 `yaml:"disk_mb"`
}

// Tolerance is the number of machines, zones and regions that may be lost at once.
type Tolerance struct {
	Machines int `yaml:"machine_losses"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"region_losses"`
}

// Bounds are the bounds in time and number that the fleet has to keep.
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

// Need says which roles of a program the settings must allow.
type Need struct {
	Front   bool // it serves clients
	Control bool // it is a controller
}

// LoadFile reads and checks one file.
func LoadFile(path string, need Need) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "settings file")
	}
	return Parse(content, need)
}

// Parse reads and checks settings.
func Parse(content []byte, need Need) (*Settings, error) {
	env := &Settings{Placement: placement.Defaults()}
	if err := yaml.Unmarshal(content, env); err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "settings file")
	}
	return env, env.check(need)
}
