package slowness

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Monitor steps a detector with what this process measures of itself. It is safe for
// concurrent use.
type Monitor struct {
	log  *slog.Logger
	work func() time.Duration

	mu           sync.Mutex // guards what follows
	detector     *Detector
	lastMeasured time.Time // zero: not yet
}

// NewMonitor returns a monitor, which takes no measurement by itself. The function work
// does the piece of work and returns its time; nil: hashing a few kilobytes.
// The log takes a line when ShouldRefuseNew changes.
func NewMonitor(log *slog.Logger, work func() time.Duration) *Monitor {
	if work == nil {
		work = hashingWork()
	}
	return &Monitor{log: log.With("part", "slowness"), work: work, detector: NewDetector()}
}

// hashingWork returns the default piece of work: it hashes a buffer a few times and
// returns the shortest time.
func hashingWork() func() time.Duration {
	buffer := make([]byte, workBytes)
	sum := uint64(0)
	return func() time.Duration {
		shortest := time.Duration(0)
		for range workRepeats {
			start := time.Now()
			sum ^= xxhash.Sum64(buffer)
			took := time.Since(start)
			if shortest == 0 || took < shortest {
				shortest = took
			}
		}
		buffer[0] = byte(sum) // the result is used, so that the work isn't optimized away
		return shortest
	}
}

// Measure measures once. Call it each Interval: by how much a call is late is part of
// the observation.
func (m *Monitor) Measure() {
	now := time.Now()
	work := m.work()
	m.mu.Lock()
	late := m.lateness(now)
	refusedBefore := m.detector.ShouldRefuseNew()
	m.detector.Step(work, late)
	state := m.detector.State()
	m.mu.Unlock()
	if state.RefusesNew != refusedBefore {
		m.log.Info("slowness changed",
			"slow", state.Slow,
			"refuses_new", state.RefusesNew,
			"work_us", work.Microseconds(),
			"usual_us", int64(state.BaselineUs),
			"late_ms", late.Milliseconds())
	}
}

// lateness is by how much more than Interval a measurement comes after the one before
// it; 0 for the first. The caller holds the lock.
func (m *Monitor) lateness(now time.Time) time.Duration {
	previous := m.lastMeasured
	m.lastMeasured = now
	if previous.IsZero() {
		return 0
	}
	return now.Sub(previous) - Interval
}

// UpdatePeer takes what another node reported of itself.
func (m *Monitor) UpdatePeer(node string, slow bool) {
	m.mu.Lock()
	m.detector.UpdatePeer(node, slow)
	m.mu.Unlock()
}

// Slow reports whether this machine is much slower than its baseline.
func (m *Monitor) Slow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Slow()
}

// ShouldRefuseNew reports whether new connections should go to other nodes.
func (m *Monitor) ShouldRefuseNew() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.ShouldRefuseNew()
}

// ShouldShed reports whether open connections should move too.
func (m *Monitor) ShouldShed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.ShouldShed()
}

// State returns what the detector has found.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State()
}
