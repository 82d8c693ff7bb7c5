// Package placement chooses the replica that a request is sent to.
//
// A prompt goes to the replica of least cost among a few candidates; the cost is counted in blocks, by what the
// replicas are believed to have cached of the prompt and by what waits and runs there. A request to a service without an
// engine goes to the less loaded of two replicas drawn at random. Replicas that are ejected as outliers, evacuated
// or draining get nothing, those that are warming up are paced, and
// suspected ones are used less.
//
// # Sources
//
// The policy joins two designs, section by section in docs/placement.md. The cost, its credit and its options are
// those of the session-caching design (4.4: cost-based routing; 4.1: only full blocks count), the homes of a prompt
// (the replicas that all nodes prefer for its prefix) and the full mark those of the m02 cache tier. "(source)" marks a constant or a default whose value is the
// design's; the others were measured, docs/placement.md says how.
//
// # State
//
// A [Placer] owns what one process knows of the load of replicas, in memory only. Nothing is shared but the sums of
// prompt tokens that wait for prefill ([Placer.PendingPrefill]), which other nodes add up, and the reports of the outlier
// detector. A restart loses the learned rates, the reported loads and the index of prefixes; all are learned anew
// from the first requests, and until then [InitialPrefillPerToken] and the homes decide. The list of replicas is
// given by the caller and never changed here.
//
// # Concurrency
//
// All methods of a Placer may be called by several goroutines at once; none blocks on anything but its lock, starts
// a goroutine or allocates for each request. The index and the detector have locks of their own, which are taken
// inside the Placer's and never the other way round.
package placement
