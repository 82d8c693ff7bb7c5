package requestlog

import (
	"fmt"
	"strings"
	"time"
)

// Request is what a record says of a request beside its trail.
type Request struct {
	AttemptID     string
	Method        string
	Target        string
	Route         string
	Service       string
	ArrivedAt     time.Time
	FirstByteAt   time.Time // when the first byte of a response went out; zero: none did
	Deadline      time.Time // zero: it was not read
	LatencyTarget time.Duration
	Revision      int64 // of the configuration that it was judged by
}

// UpdatePosition is the position of the view that a router serves by.
type UpdatePosition struct{ Epoch, Number uint64 }

// Record is one request that has ended. Times are in ms; those of attempts count from the request's arrival.
type Record struct {
	AttemptID       string          `json:"attempt_id"`
	Method          string          `json:"method"`
	Target          string          `json:"target"`
	Route           string          `json:"route,omitempty"`
	Service         string          `json:"service,omitempty"`
	ArrivedAt       time.Time       `json:"arrived_at"`
	Cause           string          `json:"cause"`
	Detail          string          `json:"detail,omitempty"`
	DurationMs      float64         `json:"duration_ms"`
	FirstByteMs     float64         `json:"first_byte_ms,omitempty"`
	DeadlineMs      float64         `json:"deadline_ms,omitempty"`
	LatencyTargetMs float64         `json:"latency_target_ms,omitempty"`
	NoReplicaMs     float64         `json:"no_replica_ms"` // waited while no replica could be used
	Revision        int64           `json:"config_revision"`
	UpdateEpoch     uint64          `json:"update_epoch"`
	UpdateNumber    uint64          `json:"update_number"`
	AttemptCount    int             `json:"attempt_count"`
	Attempts        []AttemptRecord `json:"attempts"` // the first ones
}

// AttemptRecord is one attempt at one replica.
type AttemptRecord struct {
	Replica   string  `json:"replica"`
	AtMs      float64 `json:"at_ms"`
	ConnectMs float64 `json:"connect_ms"` // until there was a connection, or none could be had
	EndMs     float64 `json:"end_ms"`
	State     string  `json:"state"`
	Status    int     `json:"status,omitempty"`
	End       string  `json:"end"`
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// newRecord sums up a request that ends now.
func newRecord(request *Request, trail *Trail, position UpdatePosition, now time.Time) *Record {
	record := &Record{
		AttemptID:       strings.Clone(request.AttemptID), // or the record would keep the whole head in memory
		Method:          strings.Clone(request.Method),
		Target:          strings.Clone(shorten(request.Target)),
		Route:           request.Route,
		Service:         request.Service,
		ArrivedAt:       request.ArrivedAt,
		Cause:           trail.cause.String(),
		Detail:          trail.detail,
		DurationMs:      milliseconds(now.Sub(request.ArrivedAt)),
		LatencyTargetMs: milliseconds(request.LatencyTarget),
		NoReplicaMs:     milliseconds(trail.waited),
		Revision:        request.Revision,
		UpdateEpoch:     position.Epoch,
		UpdateNumber:    position.Number,
		AttemptCount:    trail.count,
	}
	if !request.FirstByteAt.IsZero() {
		record.FirstByteMs = milliseconds(request.FirstByteAt.Sub(request.ArrivedAt))
	}
	if !request.Deadline.IsZero() {
		record.DeadlineMs = milliseconds(request.Deadline.Sub(request.ArrivedAt))
	}
	for i := range min(trail.count, trailLength) {
		record.Attempts = append(record.Attempts, trail.attempts[i].record(request.ArrivedAt, now))
	}
	return record
}

// maxTargetBytes bounds what a record keeps of a request's target.
const maxTargetBytes = 200

func shorten(target string) string { return target[:min(len(target), maxTargetBytes)] }

func (a *trailAttempt) record(arrived, now time.Time) AttemptRecord {
	ended := a.ended
	if ended.IsZero() {
		ended = now
	}
	connected := a.connected
	if connected.IsZero() {
		connected = ended
	}
	return AttemptRecord{
		Replica:   a.replica,
		AtMs:      milliseconds(a.begun.Sub(arrived)),
		ConnectMs: milliseconds(connected.Sub(a.begun)),
		EndMs:     milliseconds(ended.Sub(arrived)),
		State:     a.state.String(),
		Status:    a.status,
		End:       a.end,
	}
}

// summary is the attempts in one line: replica, when it began and ended, what is known of it, how it ended.
func (r *Record) summary() string {
	parts := make([]string, 0, len(r.Attempts))
	for _, each := range r.Attempts {
		parts = append(parts, fmt.Sprintf("%s %.0f-%.0fms %s: %s", each.Replica, each.AtMs, each.EndMs, each.State, each.End))
	}
	return strings.Join(parts, "; ")
}
