package settings

import "time"

// Several backups.
const (
	lossesMost = 8 // losses borne at once; more would need over 17 members
)

// Traffic.
const (
	collectAt  = 100             // percent of growth before the collector runs
	softMemory = 0.8             // part of memory_mb given to the collector as its soft limit
	watchFile  = 2 * time.Second // the settings file is looked at this often
)

// Long work between nodes (package handoff, docs/long-work.md).
const (
	longPatient = 8.0 // aims; a route whose timeout is this long has people who can wait
	longHeavy   = 4.0 // aims; a request that runs this long is long work
	longTakes   = 4   // jobs of others at once: each holds a body and a stream
)
