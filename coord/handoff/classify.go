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
	Aim                        time.Duration // target_latency_ms
	Timeout                    time.Duration // timeout_ms
	Gap                        time.Duration // target_gap_ms: the longest pause between events
	Stride                     float64       // tokens an event may carry
	PromptTokens, OutputTokens int           // Token-Counts
	PerToken                   time.Duration // time to read one token of a prompt
}

// IsLong reports whether a request is long work: its client can wait, and it runs long. Where the configuration or the
// request does not say enough, it is interactive.
func (m Thresholds) IsLong(a Demand) bool {
	if !a.Stream || a.Aim <= 0 || a.OutputTokens <= 0 || float64(a.Timeout) < m.Patient*float64(a.Aim) {
		return false
	}
	gap := a.Gap
	if gap <= 0 {
		gap = a.Aim
	}
	run := float64(a.PromptTokens)*float64(a.PerToken) + float64(a.OutputTokens)/max(1, a.Stride)*float64(gap)
	return run >= m.Heavy*float64(a.Aim)
}
