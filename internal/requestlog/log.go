package requestlog

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/atomic"
)

const (
	// recordsKept is how many failed and how many slow requests are remembered: about 0.2 MB in all.
	recordsKept = 128
	// failedLogInterval is the least time between two lines of the log on failed requests.
	failedLogInterval = 500 * time.Millisecond
	// slowLogInterval is the least time between two lines of the log on slow requests.
	slowLogInterval = 5 * time.Second
)

// durationBuckets are the upper bounds of the histogram, in seconds: from a fast lookup to the longest timeout of a route.
var durationBuckets = []float64{0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10, 20, 60}

// Log remembers requests that have ended.
type Log struct {
	log       *slog.Logger
	position  func() UpdatePosition
	durations [causeCount]prometheus.Histogram
	finished  atomic.Int64

	mu           sync.Mutex // guards the fields below
	failed       ring
	slow         ring
	failedSample sampler
	slowSample   sampler
}

// New returns a log that remembers nothing yet. The position is asked for with each record only: it may wait for an update
// that is being applied.
func New(log *slog.Logger, position func() UpdatePosition) *Log {
	l := &Log{
		log:          log.With("part", "requests"),
		position:     position,
		failedSample: sampler{interval: failedLogInterval},
		slowSample:   sampler{interval: slowLogInterval},
	}
	for cause := range l.durations {
		l.durations[cause] = prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:        "router_request_duration_seconds",
			Help:        "Time from the arrival of a request to its end, by the cause of the end.",
			ConstLabels: prometheus.Labels{"cause": Cause(cause).String()},
			Buckets:     durationBuckets,
		})
	}
	return l
}

// Finish takes a request that ends now, after [Trail.Finish].
func (l *Log) Finish(request *Request, trail *Trail) {
	now := time.Now()
	l.finished.Inc()
	l.durations[trail.cause].Observe(now.Sub(request.ArrivedAt).Seconds())
	switch {
	case trail.cause.isFailure():
		l.addFailed(newRecord(request, trail, l.position(), now), trail.cause.isLogged())
	case isSlow(request):
		l.addSlow(newRecord(request, trail, l.position(), now))
	}
}

// Finished counts the requests taken.
func (l *Log) Finished() int64 { return l.finished.Load() }

// isSlow reports whether the first byte of a response went out after the latency target.
func isSlow(request *Request) bool {
	return request.LatencyTarget > 0 && request.FirstByteAt.Sub(request.ArrivedAt) > request.LatencyTarget
}

func (l *Log) addFailed(record *Record, logged bool) {
	l.mu.Lock()
	l.failed.add(record)
	suppressed, write := int64(0), false
	if logged {
		suppressed, write = l.failedSample.take(time.Now())
	}
	l.mu.Unlock()
	if write {
		l.log.Info("request failed", record.attributes(suppressed)...)
	}
}

func (l *Log) addSlow(record *Record) {
	l.mu.Lock()
	l.slow.add(record)
	suppressed, write := l.slowSample.take(time.Now())
	l.mu.Unlock()
	if write {
		l.log.Info("request slow", record.attributes(suppressed)...)
	}
}

// attributes are the keys of a record's line of the log. suppressed counts the requests of the same kind that got no line
// since the one before.
func (r *Record) attributes(suppressed int64) []any {
	return []any{
		"attempt_id", r.AttemptID, "route", r.Route, "service", r.Service, "cause", r.Cause, "detail", r.Detail,
		"duration_ms", r.DurationMs, "first_byte_ms", r.FirstByteMs, "no_replica_ms", r.NoReplicaMs,
		"config_revision", r.Revision, "update_epoch", r.UpdateEpoch, "update_number", r.UpdateNumber,
		"attempts", r.summary(), "suppressed", suppressed,
	}
}

// Page is what the state port serves of a log, newest first.
type Page struct {
	Failed []*Record `json:"failed"`
	Slow   []*Record `json:"slow"`
}

// Page returns the remembered requests: all if the id is empty, else those with that Attempt-Id.
func (l *Log) Page(attemptID string) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Page{Failed: l.failed.newest(attemptID), Slow: l.slow.newest(attemptID)}
}

// Collectors are the histograms, for package metrics.
func (l *Log) Collectors() []prometheus.Collector {
	collectors := make([]prometheus.Collector, 0, len(l.durations))
	for _, each := range l.durations {
		collectors = append(collectors, each)
	}
	return collectors
}

// ring holds the newest records.
type ring struct {
	records []*Record
	next    int // where the next one goes once it is full
}

func (r *ring) add(record *Record) {
	if len(r.records) < recordsKept {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % recordsKept
}

// newest lists the records with an Attempt-Id, all if it is empty, newest first.
func (r *ring) newest(attemptID string) []*Record {
	found := []*Record{}
	ordered := slices.Concat(r.records[r.next:], r.records[:r.next])
	slices.Reverse(ordered)
	for _, record := range ordered {
		if attemptID == "" || record.AttemptID == attemptID {
			found = append(found, record)
		}
	}
	return found
}

// sampler lets one line through in each interval.
type sampler struct {
	interval   time.Duration
	last       time.Time
	suppressed int64
}

// take reports whether a line may be written now, and how many were not since the last one.
func (s *sampler) take(now time.Time) (suppressed int64, write bool) {
	if !s.last.IsZero() && now.Sub(s.last) < s.interval {
		s.suppressed++
		return 0, false
	}
	suppressed = s.suppressed
	s.last, s.suppressed = now, 0
	return suppressed, true
}
