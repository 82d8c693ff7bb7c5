package outlier

import (
	"cmp"
	"slices"
	"time"
)

// maxReports bounds the replicas reported of at a time: all of it rides on one message.
const maxReports = 32

// Report is what one node saw of one replica since its last report. Its JSON form is sent between processes.
type Report struct {
	ReplicaID string  `json:"r"`
	Node      uint64  `json:"n"` // that reports; any number of its own
	Successes float64 `json:"g"` // requests
	Failures  float64 `json:"b"` // whole failures, see [FailureKind]
}

// TakeReports gives what is to be reported for a node and forgets it: failures, and for suspects what went well too;
// those with the most failures first. Without faults there is none.
func (d *Detector) TakeReports(node uint64, now time.Time) []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reports []Report
	openCases := int64(0)
	for id, replica := range d.replicas {
		if replica.needsTrial || replica.isSuspect(now) {
			openCases++
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
	d.flagged.Store(openCases)
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.ReplicaID, b.ReplicaID))
	})
	return reports[:min(len(reports), maxReports)]
}
