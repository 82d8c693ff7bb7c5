package controller

import (
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/state"
)

// reportsLimit bounds the reports on replicas that a relay keeps until it passes them on; the oldest are dropped.
const reportsLimit = 1024

// outlierReports are the followers' reports on replicas that a relay has not passed on yet.
type outlierReports struct {
	invalid atomic.Int64 // messages that could not be read

	mu      sync.Mutex
	pending []outlier.Report // guarded by mu
}

func (r *outlierReports) add(reports []outlier.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, reports...)
	r.pending = r.pending[max(0, len(r.pending)-reportsLimit):]
}

// take removes the pending reports and gives them encoded, nil if there are none.
func (r *outlierReports) take() []byte {
	r.mu.Lock()
	reports := r.pending
	r.pending = nil
	r.mu.Unlock()
	if len(reports) == 0 {
		return nil
	}
	encoded, _ := json.Marshal(reports)
	return encoded
}

// evaluationPacer spaces the primary's evaluations of the reports: each report may ask for one, and so does a timer.
type evaluationPacer struct {
	mu   sync.Mutex
	last time.Time // zero before the first evaluation; guarded by mu
}

// due reports whether the last evaluation was a heartbeat ago or more; if so, it records one for now.
func (p *evaluationPacer) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) < distribution.HeartbeatInterval {
		return false
	}
	p.last = now
	return true
}

// handleReports takes what followers report on replicas: the primary evaluates it, others pass it on with their own next
// acknowledgement. Reports that can't be read are dropped: they are hints, and followers send more. The first of them is
// logged, and one of each failuresPerLog after it.
func (c *Controller) handleReports(follower string, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	var reports []outlier.Report
	if err := json.Unmarshal(encoded, &reports); err != nil {
		if invalid := c.reports.invalid.Inc(); invalid%failuresPerLog == 1 {
			c.log.Warn("reports of a follower cannot be read", "follower", follower, "reports", invalid, "error", err.Error())
		}
		return
	}
	if !c.IsActivePrimary() {
		c.reports.add(reports)
		return
	}
	replicas := c.updates.View().Replicas
	serviceOf := func(id string) string {
		if replica := replicas[id]; replica != nil {
			return replica.Pool
		}
		return ""
	}
	c.aggregator.AddReports(reports, serviceOf, time.Now())
	c.publishSuspects()
}

// publishSuspects publishes which replicas the fleet's reports make suspect, when that changed or runs out, at most once
// a heartbeat.
func (c *Controller) publishSuspects() {
	now := time.Now()
	if !c.evaluations.due(now) || !c.IsActivePrimary() {
		return
	}
	size := map[string]int{} // replicas, by service
	for _, replica := range c.updates.View().Replicas {
		size[replica.Pool]++
	}
	if suspects := c.aggregator.Evaluate(size, now); suspects.Publish {
		c.publish(state.UpdateSuspects{Replicas: suspects.IDs})
	}
}
