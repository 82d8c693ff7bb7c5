package placement

import "time"

// The cache design. Starting values marked (source) are the design's, the others ours.
const (
	homesPerChain   = 3                     // rendezvous homes of a chain (source)
	defaultFullMark = 0.85                  // occupancy above which a home is passed over (source)
	sameZoneBonus   = 0.15                  // part of the slots by which another locality must be less busy
	minLearnTokens  = 1500                  // shorter prompts tell little about the time per token
	learnDownWeight = 0.5                   // weight of an observation below what is believed
	learnUpWeight   = 0.02                  // weight of one above: it holds waiting too
	baseTTFT        = 45 * time.Millisecond // time to a first token that no prompt token explains
)

// Replica health: weights are parts of a whole failure.
const (
	queuedReportLifetime = 2 * time.Second // a replica's word that requests wait there excuses overdue ones so long
)

// Placement of prompts: the cost's options and the search for candidates.
const (
	defaultOverlapCredit     = 1.0             // blocks of credit for a block that the index names (source)
	defaultRereadWeight      = 16.0            // blocks that a shared block counts for: reading it where it is not kept costs its time, and room and wavering besides
	defaultPrefillLoadScale  = 64.0            // prefill_load_scale: decode blocks that weigh as much as one block to be read; memory held hardly slows a step, reading does
	defaultActiveWeight      = 64.0            // decode blocks that one active request counts for: about a block's reading, for its part of each step
	defaultOtherZoneBlocks   = 16.0            // blocks to be read that another locality counts for: a way there and back takes about as long
	defaultCreditDecayBlocks = 0.0             // blocks in line at which credit is halved; 0: it does not decay, the line itself already weighs against it
	replicasPerBucket        = 32              // replicas a bucket keeps, among which homes are ranked by the key itself: their number evens the load out
	bucketCount              = 4096            // buckets of keys with their replicas in rendezvous order, filled when first used
	randomCandidates         = 4               // random candidates, half of them from the own locality
	maxDraws                 = 12              // draws for one random candidate before all replicas are looked through
	runningReportLifetime    = 2 * time.Second // a replica's own word on its load fades to the service's mean over this time
	waitingReportLifetime    = 1 * time.Second // and its word on its waiting line to nothing over this
	extraDelayLifetime       = 2 * time.Second // a delay seen at a replica is forgotten after this
	extraDelayDecayPerSecond = 2.0             // and has faded by e at one in so many seconds
	rateObservationWeight    = 0.03            // weight of one observation in a replica's reading rate beside the mean; waiting is in it, so one says little
	rateNoiseBand            = 0.1             // a difference from the mean up to this is taken for chance
	maxRelativeRate          = 2.0             // a replica counts as at most this much slower or quicker than the service's mean
	meanObservationWeight    = 0.02            // weight of one prompt in the mean of what a request holds
)

// What waits at the replicas, told through the fleet.
const (
	fleetLoadLifetime = 1000 * time.Millisecond // a sum fades to nothing over this time
)

const (
	// InitialPrefillPerToken is the prefill time of a prompt token until it has been learned (source).
	InitialPrefillPerToken = 35 * time.Microsecond
)
