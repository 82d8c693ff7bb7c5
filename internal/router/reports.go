package router

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/settings"
)

const (
	// loadSumInterval is how often a node reports its load sums to its relay, if they changed: a prompt is read in some
	// 100 ms.
	loadSumInterval = 80 * time.Millisecond
	// loadSumRepeat is after how long sums that didn't change are reported again.
	loadSumRepeat = 400 * time.Millisecond
)

// failureReports returns the failures seen since the last report, for the acknowledgement about to be sent;
// nil if there are none or the last report is less than half a heartbeat old.
func (r *Router) failureReports() []byte {
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
	self := xxhash.Sum64String(r.settings.Load().Port(settings.RouterPortOffset))
	reports := r.placer.Health().TakeReports(self, now)
	if len(reports) == 0 {
		return nil
	}
	encoded, _ := json.Marshal(reports)
	return encoded
}

// recordFault records a fault of a replica, and reports it at once if nothing was reported for a heartbeat.
func (r *Router) recordFault(id string, kind outlier.FailureKind) {
	now := time.Now()
	r.placer.Health().RecordFailure(id, kind, now)
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= distribution.HeartbeatInterval
	r.mu.Unlock()
	if due {
		r.follower.ReportProgress()
	}
}

// reportLoadSums reports to the relay what this process has pending at the replicas, when it changed or the last report
// grows old.
func (r *Router) reportLoadSums() {
	var reported []loadsum.Load
	var reportedAt time.Time
	wait.Every(r.ctx, loadSumInterval, func() bool {
		now, pending := time.Now(), r.placer.PendingPrefill()
		if slices.Equal(pending, reported) && (len(pending) == 0 || now.Sub(reportedAt) < loadSumRepeat) {
			return true
		}
		reported, reportedAt = pending, now
		r.follower.Send(&rpc.Message{Kind: rpc.LoadSums, From: r.follower.Self(), Body: loadsum.Encode(pending)})
		return true
	})
}

// receiveLoadSums takes the fleet's sums.
func (r *Router) receiveLoadSums(message *rpc.Message) {
	if message.Kind == rpc.LoadSums {
		r.placer.UpdateFleetLoad(loadsum.Decode(message.Body))
	}
}
