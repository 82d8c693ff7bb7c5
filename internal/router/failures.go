package router

import (
	"encoding/json"
	"time"

	"shaletrestle/coord/distribution"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/outlier"
)

// reports are the failures seen here since the last time, for the acknowledgement that is about to go; nil mostly.
func (r *Router) reports() []byte {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= distribution.HeartbeatInterval/2
	if due {
		r.reportedAt = now
	}
	r.mu.Unlock()
	if !due {
		return nil
	}
	ws := r.placer.Health().TakeReports(xxhash.Sum64String(r.settings.Load().Port(routerPort)), now)
	if len(ws) == 0 {
		return nil
	}
	b, _ := json.Marshal(ws)
	return b
}

// recordFault holds a failure against a replica, and tells of it at once if nothing was told for a beat.
func (r *Router) recordFault(id string, k outlier.FailureKind) {
	now := time.Now()
	r.placer.Health().RecordFailure(id, k, now)
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= distribution.HeartbeatInterval
	r.mu.Unlock()
	if due {
		r.follower.ReportProgress()
	}
}
