package slowness

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Monitor steps a detector with what this process measures of itself.
type Monitor struct {
	log  *slog.Logger
	work func() time.Duration

	mu           sync.Mutex // guards what follows
	detector     *Detector
	lastMeasured time.Time // zero: not yet
}

// NewMonitor makes a monitor. The function work does the piece of work and gives its
// time; nil stands for the usual piece of work.
func NewMonitor(log *slog.Logger, work func() time.Duration) *Monitor {
	if work == nil {
		work = hashingWork()
	}
	return &Monitor{log: log.With("part", "slowness"), work: work, detector: NewDetector()}
}

// hashingWork makes the usual piece of work: it hashes a buffer a few times and
// gives the shortest time.
func hashingWork() func() time.Duration {
	buffer := make([]byte, levelBytes)
	sum := uint64(0)
	return func() time.Duration {
		shortest := time.Duration(0)
		for range levelTimes {
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

// Measure measures once. It is to be called every LevelEvery; by how much a call is
// late is part of the observation.
func (w *Monitor) Measure() {
	now := time.Now()
	work := w.work()
	w.mu.Lock()
	late := w.lateness(now)
	outBefore := w.detector.ShouldRefuseNew()
	w.detector.Step(work, late)
	state := w.detector.State()
	w.mu.Unlock()
	if state.RefusesNew != outBefore {
		w.log.Info("own machine",
			"slow", state.Slow,
			"out", state.RefusesNew,
			"work_us", work.Microseconds(),
			"usual_us", int64(state.UsualUs),
			"late_ms", late.Milliseconds())
	}
}

// lateness is by how much a look is late after the one before it; the caller
// holds the lock.
func (w *Monitor) lateness(now time.Time) time.Duration {
	previous := w.lastMeasured
	w.lastMeasured = now
	if previous.IsZero() {
		return 0
	}
	return now.Sub(previous) - Interval
}

// UpdatePeer takes what another node reported of itself.
func (w *Monitor) UpdatePeer(node string, slow bool) {
	w.mu.Lock()
	w.detector.UpdatePeer(node, slow)
	w.mu.Unlock()
}

// Slow tells whether this machine is much slower than usual.
func (w *Monitor) Slow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Slow()
}

// ShouldRefuseNew tells whether new connections should go to other nodes.
func (w *Monitor) ShouldRefuseNew() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.ShouldRefuseNew()
}

// ShouldShed tells whether open connections should move too.
func (w *Monitor) ShouldShed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.ShouldShed()
}

// State gives what the state page shows.
func (w *Monitor) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.State()
}
