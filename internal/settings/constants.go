package settings

import "time"

// Several backups.
const (
	maxLosses = 8 // losses borne at once; more would need over 17 members
)

// Traffic.
const (
	collectAt         = 100             // percent of growth before the collector runs
	softMemory        = 0.8             // part of memory_mb given to the collector as its soft limit
	fileCheckInterval = 2 * time.Second // the settings file is looked at this often
)

// Long work between nodes (package handoff, docs/long-work.md).
const (
	longPatient = 8.0 // aims; a route whose timeout is this long has people who can wait
	longHeavy   = 4.0 // aims; a request that runs this long is long work
	longTakes   = 4   // jobs of others at once: each holds a body and a stream
)

const (
	// FileVariable names the environment variable that holds the path of the settings file.
	FileVariable = "SHALETRESTLE_NODE_FILE"
	// ControlPort is where a controller takes messages of other processes, as an offset into internal_port_range.
	ControlPort = 0
	// ControlStatePort is the controller's state page, as an offset into internal_port_range.
	ControlStatePort = 1
	// RouterStatePort is the router's state page, as an offset into internal_port_range.
	RouterStatePort = 3
	// HeaderTimeout bounds the reading of a header on own ports.
	HeaderTimeout = 3 * time.Second
	// IdleTimeout ends an idle connection on own ports.
	IdleTimeout = 15 * time.Second
	// HeaderBytes bounds a header before a configuration sets its own limit.
	HeaderBytes = 16 << 10
	// GraceMargin is how long before the end of its grace a stopping process ends.
	GraceMargin = 700 * time.Millisecond
	// MaxTakenJobs bounds the jobs of others that a node runs at once; no setting may allow more.
	AcceptedJobsLimit = 256
)
