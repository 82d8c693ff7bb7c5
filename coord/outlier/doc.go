// Package outlier finds replicas that fail more than their peers and keeps requests away from them.
//
// Each node runs a [Detector], which judges replicas by the outcome of the node's own requests. One process of the
// fleet, chosen by the caller, runs an [Aggregator], which adds up the [Report] values that the detectors give and
// names suspects. A suspicion ejects nobody: most requests go to other replicas, and a detector needs less evidence
// to eject. Neither a list of replicas nor a health check ejects or clears: only answers and their absence count.
//
// A replica is judged against its peers, not against zero: when all fail alike none is ejected by evidence. Evidence
// ejects at most a third of a service and never all of it; a refused connection or a time-out ejects at once, without that
// bound. An ejection is longer after recent ones, is bounded, and ends with a single trial request.
//
// # State
//
// A detector holds a record for each replica and service, an aggregator one for each replica reported of; all of it
// in memory. A restart forgets everything: a new detector finds all replicas fit and has no mean answer time, a
// new aggregator has no suspicions, and those at the nodes expire.
//
// # Concurrency
//
// All methods of Detector and Aggregator are safe for concurrent use. None blocks on anything but a lock or starts a
// goroutine; time is passed in. While no replica is suspected or was ejected, [Detector.Fitness] takes no lock.
//
// # Sources
//
// The terms are those of Envoy's outlier detection; the two-level judgement, its weights and its bounds are this
// project's own. docs/health.md gives the ways that were weighed, and the measurements.
package outlier
