package settings

import (
	"fmt"
	"os"

	"gopkg.in/yaml.v3"

	"shaletrestle/internal/placement"
)

// Settings is the content of a settings file.
type Settings struct {
	// NodeName names the process in logs and on its state page. Required.
	NodeName string `yaml:"node_name"`
	// Role is the operator's name of what the process does. It is not used.
	Role string `yaml:"role"`
	// Serves says who may call the process from outside: "edge" for clients, "control_plane" for the operator. It is
	// not used: the program that is started says it ([Roles]).
	Serves []string `yaml:"serves"`
	// IP is the machine's own address, for messages between processes. Required.
	IP string `yaml:"ip"`
	// Zone is the failure domain of the machine. Required.
	Zone string `yaml:"zone"`
	// Region is the region of Zone. It is not used: Zones has it too.
	Region string `yaml:"region"`
	// Zones gives the region of each zone of the fleet.
	Zones map[string]string `yaml:"zones"`
	// Bind holds the addresses to serve at.
	Bind BindAddresses `yaml:"bind_addresses"`
	// Ports is the range that is free for messages between processes and for state pages: its first and last port, at
	// least [RouterStatePortOffset] apart. Required.
	Ports []int `yaml:"internal_port_range"`
	// Seeds are control addresses of some machines; at the first start all processes have the same. One is required.
	Seeds []string `yaml:"seed_nodes"`
	// Bootstrap is true only when the whole fleet starts for the first time, with empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// QuorumMember is true if the machine counts among those that Tolerance is about: it has a disk and may vote.
	QuorumMember bool `yaml:"quorum_member"`
	// Limits are the resources of the process.
	Limits Limits `yaml:"limits"`
	// DataDir is the folder that survives a restart. A controller with QuorumMember needs it.
	DataDir string `yaml:"data_dir"`
	// HeartbeatMs is the time in milliseconds between two health checks of a router by its neighbours; the interval of
	// the updates' heartbeat if that is longer (docs/nodes.md).
	HeartbeatMs float64 `yaml:"heartbeat_ms"`
	// Contracts names the parts of the rules that are in force. A part that this version doesn't know is logged at the
	// start ([Settings.UnknownContracts]) and otherwise ignored.
	Contracts []string `yaml:"contracts"`
	// Tolerance is what may be lost at once with all rules kept.
	Tolerance Tolerance `yaml:"fault_tolerance"`
	// Bounds are the figures of the rules.
	Bounds Bounds `yaml:"bounds"`
	// Cloud says where the platform's list of replicas is.
	Cloud CloudAPI `yaml:"cloud_api"`
	// Calendar is the path of an iCalendar file with maintenance windows; empty for none.
	Calendar string `yaml:"maintenance_calendar"`
	// Placement are the options of placement; left out, each has its default ([placement.Defaults]).
	Placement placement.Options `yaml:"placement"`
	// LongWork are the options of long work between nodes.
	LongWork LongWork `yaml:"long_work"`
	// MetricsPort is a port, beside those of the range, at which the metrics alone are served. Default 0: at none.
	MetricsPort int `yaml:"metrics_port,omitempty"`
}

// BindAddresses holds the addresses to serve at, each a host and a port.
type BindAddresses struct {
	// Front is for clients. A program with Roles.Frontend needs it.
	Front string `yaml:"front"`
	// Readiness is for those who ask whether the process takes requests. A program with Roles.Frontend needs it.
	Readiness string `yaml:"readiness"`
	// Control is for the operator. A program with Roles.Control needs it; its port is the same on all machines.
	Control string `yaml:"control"`
}

// Limits are the resources of the process.
type Limits struct {
	// CPUShare is the part of a core. It is not used.
	CPUShare float64 `yaml:"cpu_share"`
	// MemoryMB is the memory in MiB beyond which the process is killed. Required, above 0.
	MemoryMB float64 `yaml:"memory_mb"`
	// MaxFds is the number of descriptors. It is not used.
	MaxFds int `yaml:"max_fds"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s. It is not used.
	LinkMbps float64 `yaml:"link_mbps"`
	// DiskMB is the size of DataDir in MB. It is not used.
	DiskMB float64 `yaml:"disk_mb"`
}

// Tolerance is what may be lost at once, each from 0 to 8; [Settings.MaxFailures] makes one number of it.
type Tolerance struct {
	// Machines counts machines with QuorumMember.
	Machines int `yaml:"machine_losses"`
	// Zones counts zones, each with all its machines.
	Zones int `yaml:"zones"`
	// Regions counts regions, each with all its zones.
	Regions int `yaml:"region_losses"`
}

// Bounds are the figures of the rules that the fleet must keep (the rules page), each 0 or more. Those that are not
// used stand here to be checked: a file with a wrong one is rejected.
type Bounds struct {
	// ContactMs is the time in milliseconds for which a machine must have had contact before bounds in time apply to it.
	// Required, above 0.
	ContactMs float64 `yaml:"contact_ms"`
	// AckMs is the time in milliseconds within which an operator's change is acknowledged. It is not used.
	AckMs float64 `yaml:"ack_ms"`
	// DrainMs is the time in milliseconds after which no request reaches a draining replica. It is not used.
	DrainMs float64 `yaml:"drain_ms"`
	// GraceS is the time in seconds from a SIGTERM to the end of the process, which is then killed. A shutdown ends
	// [GraceMargin] before.
	GraceS float64 `yaml:"grace_s"`
	// ConfigApplyMs is the time in milliseconds after which an acknowledged configuration is in force everywhere. It is
	// not used.
	ConfigApplyMs float64 `yaml:"config_apply_ms"`
	// BudgetRatio is the part of a service's requests that may be retried within a window.
	BudgetRatio float64 `yaml:"retry_budget_ratio"`
	// BudgetWindowS is the window of the retry budget in seconds.
	BudgetWindowS float64 `yaml:"retry_window_s"`
	// BudgetSlack is the number of retries that a service has in each window in addition.
	BudgetSlack float64 `yaml:"retry_slack"`
	// ColdOvershoot is the multiple of its warm-up rate that a replica which is warming up may get. It is not used.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	// ColdSlack is the number of requests a second that it may get in addition. It is not used.
	ColdSlack float64 `yaml:"cold_slack"`
	// EvacuateMs is the time in milliseconds after which no request reaches an evacuated zone. It is not used.
	EvacuateMs float64 `yaml:"evacuate_ms"`
	// AddressReuseS is the time in seconds after which the address of a replica that is gone may be another's. It is
	// not used.
	AddressReuseS float64 `yaml:"address_reuse_s"`
	// LossSlackMs is the time in milliseconds within which a process that ends may leave a request unanswered that was
	// not passed on. It is not used.
	LossSlackMs float64 `yaml:"loss_slack_ms"`
	// PassMs is the time in milliseconds within which an event of a stream is passed on. It is not used.
	PassMs float64 `yaml:"pass_ms"`
	// MergeMs is the time in milliseconds after the end of a partition within which all members have all additions to
	// tallies; one that answers and lacks some for longer is logged. 0: not bounded.
	MergeMs float64 `yaml:"merge_ms"`
	// RecoverS is the time in seconds after which requests are served again when all machines are back. It is not used.
	RecoverS float64 `yaml:"recover_s"`
	// StretchMaxMs is the time in milliseconds by which an unsettled core stretches bounds at most. It is not used.
	StretchMaxMs float64 `yaml:"stretch_max_ms"`
	// RevertSlackMs is the time in milliseconds for which an older configuration may still be followed after the
	// effect of a newer one was seen. It is not used.
	RevertSlackMs float64 `yaml:"revert_slack_ms"`
	// SyncS is the time in seconds for which a machine counts as lost after it returned. It is not used.
	SyncS float64 `yaml:"sync_s"`
	// SeedLagSeconds is the time in seconds by which Seeds may be behind. It is not used.
	SeedLagSeconds float64 `yaml:"seed_lag_s"`
}

// CloudAPI says where the platform's list of replicas is.
type CloudAPI struct {
	// Address is a host and a port. A program with Roles.Control needs it.
	Address string `yaml:"address"`
	// RatePerS is the number of calls a second that the list takes from the whole fleet. It is not used: one process
	// reads it, each discovery.ListInterval.
	RatePerS float64 `yaml:"rate_per_s"`
	// MaxLagMs is the time in milliseconds by which the list is behind.
	MaxLagMs float64 `yaml:"max_lag_ms"`
}

// Roles says what a program does: it decides which settings are required.
type Roles struct {
	Frontend bool // it serves clients
	Control  bool // it is a controller
}

// LoadFile reads and checks a settings file. The error is that of reading it or that of [Parse].
func LoadFile(path string, roles Roles) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return Parse(content, roles)
}

// Parse reads and checks settings, and sets defaults. It fails with an [InvalidError].
func Parse(content []byte, roles Roles) (*Settings, error) {
	parsed := &Settings{Placement: placement.Defaults()}
	if err := yaml.Unmarshal(content, parsed); err != nil {
		return nil, &InvalidError{Err: fmt.Errorf("settings file: %w", err)}
	}
	if err := parsed.check(roles); err != nil {
		return nil, err
	}
	parsed.LongWork.setDefaults()
	return parsed, nil
}
