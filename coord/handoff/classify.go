package handoff

import (
	"time"
)

// Thresholds separate long work from interactive work, in latency targets of the route.
type Thresholds struct {
	Patient float64 // a route whose timeout is this many targets or more has clients who can wait
	Heavy   float64 // a request that runs for this many targets or more is long work
}

// Demand is what the configuration and a request's own header say of it.
type Demand struct {
	Stream                     bool          // the response is a stream of events
	LatencyTarget              time.Duration // target_latency_ms
	Timeout                    time.Duration // timeout_ms
	EventGapTarget             time.Duration // target_gap_ms: the longest pause between events
	TokensPerEvent             float64       // tokens an event may carry
	PromptTokens, OutputTokens int           // Token-Counts
	PerToken                   time.Duration // time to read one token of a prompt
}

// IsLong reports whether a request is long work: its client can wait, and it runs long. Where the configuration or the
// request does not say enough, it is interactive.
func (t Thresholds) IsLong(demand Demand) bool {
	if !demand.Stream || demand.LatencyTarget <= 0 || demand.OutputTokens <= 0 || float64(demand.Timeout) < t.Patient*float64(demand.LatencyTarget) {
		return false
	}
	gap := demand.EventGapTarget
	if gap <= 0 {
		gap = demand.LatencyTarget
	}
	run := float64(demand.PromptTokens)*float64(demand.PerToken) + float64(demand.OutputTokens)/max(1, demand.TokensPerEvent)*float64(gap)
	return run >= t.Heavy*float64(demand.LatencyTarget)
}
