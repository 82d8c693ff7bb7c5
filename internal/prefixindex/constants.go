package prefixindex

// The cache design. Starting values marked (source) are the design's, the others ours.
const (
	thrashRatio           = 0.9   // evictions over stores that count as thrash (source)
	sketchWidth           = 4096  // counters a row; thousands of live prefixes collide little
	sketchRows            = 4     // rows of the sketch
	sketchHalvingInterval = 20000 // sightings after which all counts are halved
	pendingLimit          = 256   // prefixes waiting to be entered
)

// Placement of prompts: the cost's options and the search for candidates.
const (
	maxHoldersExamined = 24 // and entries looked at to find them
)

const (
	// BlockTokens is the number of tokens in a block (source).
	BlockTokens = 16
	// MinSightings is how often a prefix is seen before an entry is made (source).
	MinSightings = 2
	// MaxRuns bounds the runs kept over all replicas.
	MaxRuns = 20000
	// MaxContradictions is the number of contradictions at which a hint is dropped.
	MaxContradictions = 3
	// MaxHolders is the number of replicas named by the index that become candidates.
	MaxHolders = 6
)
