package outlier

import (
	"cmp"
	"slices"
	"time"
)

// maxReports bounds the replicas in one report: all of it is part of one message.
const maxReports = 32

// Report is what one node saw of one replica since its last report. Its JSON form is sent between processes.
type Report struct {
	ReplicaID string  `json:"r"`
	Node      uint64  `json:"n"` // that reports; any number, but a different one for each node
	Successes float64 `json:"g"` // requests
	Failures  float64 `json:"b"` // weighted by kind, see [FailureKind]
}

// TakeReports returns what a node has to report and clears it: failures, and for suspects successes too; those with the
// most failures first. Without failures and suspects it is nil. What goes beyond the bound of a report is lost.
func (d *Detector) TakeReports(node uint64, now time.Time) []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reports []Report
	flagged := int64(0)
	for id, replica := range d.replicas {
		if replica.needsTrial || replica.isSuspect(now) {
			flagged++
		}
		if replica.unreportedFailures > 0 || replica.unreportedSuccesses > 0 && replica.isSuspect(now) {
			reports = append(reports, Report{
				ReplicaID: id,
				Node:      node,
				Successes: replica.unreportedSuccesses,
				Failures:  replica.unreportedFailures,
			})
		}
		replica.unreportedSuccesses, replica.unreportedFailures = 0, 0
	}
	d.flagged.Store(flagged) // counted anew: SetSuspects and ejections only ever add
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.ReplicaID, b.ReplicaID))
	})
	return reports[:min(len(reports), maxReports)]
}
