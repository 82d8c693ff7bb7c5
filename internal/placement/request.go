package placement

import (
	"time"

	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

// Request is what is to be placed. A Placer reads it during [Placer.Place] only and doesn't change it.
type Request struct {
	Pool            string             // the service
	Zone            string             // of this process: replicas of the same zone are preferred
	Chain           *prefixindex.Chain // the prompt; nil for services without an engine
	CapacityTokens  int                // memory of one replica; 0 if unknown, and then no shortage is foreseen
	MaxOutputTokens int                // that may be generated
	LatencyTarget   time.Duration      // within which the first token is wanted
	Excluded        map[string]bool    // ids of replicas that must not be chosen; nil: none
	Retriable       bool               // it may be sent again if it fails, so suspected replicas get more of these

	// AllowsZone reports whether it may be sent to a zone; nil: to all. It is called with the Placer locked, so it must
	// not call it.
	AllowsZone func(zone string) bool
	// WarmupRate returns the requests a second that this process may send to a replica that is warming up, 0 for none. It
	// must not be nil if a replica may be warming up, nor call the Placer.
	WarmupRate func(replica string) float64
}

// Choice is where a request goes.
type Choice struct {
	Replica       *state.Replica // as listed last; not to be changed
	MatchedTokens int            // of the prompt, that the replica is believed or expected to have cached
	PredictedTTFT time.Duration  // time to the first token; 0 without a prompt
	UnloadedTTFT  time.Duration  // the same with nothing else at the replica
	Spilled       bool           // not the first candidate, usually the first home, though that has no less of the prompt cached
	BetterCached  bool           // not the first candidate, but one that has more of the prompt cached
	WarmingUp     bool           // the replica is warming up: no other could be used
}

// Attempt is one request at a replica, from [Placer.Place] to [Placer.Release]. It belongs to the caller, who hands it
// to one method at a time.
type Attempt struct {
	ReplicaID       string
	Chain           *prefixindex.Chain // of its [Request]
	MatchedTokens   int                // of its [Choice]
	MaxOutputTokens int                // of its [Request]
	FirstTokenSeen  bool               // set by [Placer.FirstToken]
	OverdueReported bool               // set by the caller: its lateness was recorded as a failure already
}

// LoadReport is what a replica says of its own load, in requests.
type LoadReport struct {
	Running float64
	Waiting float64
	Slots   float64 // requests that it runs at once; 0 if it doesn't say
}
