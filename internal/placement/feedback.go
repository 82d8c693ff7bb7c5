package placement

import (
	"time"

	"shaletrestle/coord/outlier"
)

const (
	// contradictingShare is the part of the time that a hint of the index should have saved by which a first token must be
	// late to count against the hint.
	contradictingShare = 0.8
	// minJudgedSaving is the least saving, in seconds, whose absence counts: less can't be told from noise.
	minJudgedSaving = 0.01
)

// FirstToken records that the first token, or the answer, of an attempt came a time after it was sent; predicted is the
// time that its [Choice] predicted (0 without a prompt). Only the first call for an attempt counts, and none for a replica that has left
// the list.
func (p *Placer) FirstToken(attempt *Attempt, took, predicted time.Duration) {
	saved, judged := p.observeFirstToken(attempt, took, predicted)
	// What a home was only expected to have cached is no hint of the index, and says nothing against one.
	if !judged || attempt.MatchedTokens == 0 || p.index.Matched(attempt.ReplicaID, attempt.Chain) < attempt.MatchedTokens {
		return
	}
	if late := (took - predicted).Seconds(); late > contradictingShare*saved && saved > minJudgedSaving {
		p.index.Contradicted(attempt.ReplicaID, attempt.Chain)
	} else {
		p.index.Confirmed(attempt.ReplicaID, attempt.Chain)
	}
}

// observeFirstToken learns from a first token. It returns the seconds that the cached part of the prompt should have
// saved; judged is false if the time says nothing about that, because other requests may have delayed it.
func (p *Placer) observeFirstToken(attempt *Attempt, took, predicted time.Duration) (saved float64, judged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[attempt.ReplicaID]
	if replica == nil || attempt.FirstTokenSeen {
		return 0, false
	}
	attempt.FirstTokenSeen = true
	p.health.RecordSuccess(attempt.ReplicaID, outlier.Answer{Took: took, Predicted: predicted, Overdue: attempt.OverdueReported})
	if attempt.Chain == nil {
		return 0, false
	}
	replica.markPrefilled(attempt)
	replica.speed.extraDelay, replica.speed.extraDelayAt = max(0, (took-predicted).Seconds()), time.Now()
	p.rates.observePrefill(&replica.speed, took, float64(attempt.Chain.Tokens()-attempt.MatchedTokens))
	return float64(attempt.MatchedTokens) * replica.speed.prefillPerToken, replica.sent.requests <= 1
}

// Release ends the count of an attempt, whatever its result. Call it once for each choice.
func (p *Placer) Release(attempt *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[attempt.ReplicaID]
	if replica == nil {
		return
	}
	p.health.RequestEnded(attempt.ReplicaID)
	replica.removeAttempt(attempt)
}

// UpdateLoad takes a replica's report of its own load; one of an unknown replica is dropped.
func (p *Placer) UpdateLoad(id string, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	if replica == nil {
		return
	}
	replica.reported = reportedLoad{LoadReport: report, at: time.Now()}
	if pool := p.pools[replica.listed.Pool]; pool != nil && report.Slots > 0 {
		pool.observeReport(report)
		p.index.ReserveTokens(id, report.Running*pool.meanHeldTokens)
	}
}

// IsQueued reports whether a replica reported lately that requests wait there.
func (p *Placer) IsQueued(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	return replica != nil && replica.isQueued(time.Now())
}
