package slowness

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Watch steps a detector with what this process measures of itself.
type Watch struct {
	ctx  context.Context
	log  *slog.Logger
	work func() time.Duration

	mu       sync.Mutex
	detector *Detector
	lastLook time.Time
}

// NewWatch makes a watch. The function work does the piece of work and gives its
// time; nil stands for the usual piece of work.
func NewWatch(ctx context.Context, log *slog.Logger, work func() time.Duration) *Watch {
	if work == nil {
		work = hashingWork()
	}
	return &Watch{ctx: ctx, log: log.With("part", "slowness"), work: work, detector: NewDetector()}
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

// Look measures once. It is to be called every LevelEvery; by how much a call is
// late is part of the observation.
func (w *Watch) Look() {
	now := time.Now()
	work := w.work()
	w.mu.Lock()
	late := w.lateness(now)
	outBefore := w.detector.Out()
	w.detector.Step(work, late)
	state := w.detector.State()
	w.mu.Unlock()
	if state.Out != outBefore {
		w.log.Info("own machine",
			"slow", state.Slow,
			"out", state.Out,
			"work_us", work.Microseconds(),
			"usual_us", int64(state.UsualUs),
			"late_ms", late.Milliseconds())
	}
}

// lateness is by how much a look is late after the one before it; the caller
// holds the lock.
func (w *Watch) lateness(now time.Time) time.Duration {
	previous := w.lastLook
	w.lastLook = now
	if previous.IsZero() {
		return 0
	}
	return now.Sub(previous) - Interval
}

// Hear takes what another node reported of itself.
func (w *Watch) Hear(node string, slow bool) {
	w.mu.Lock()
	w.detector.Hear(node, slow)
	w.mu.Unlock()
}

// Slow tells whether this machine is much slower than usual.
func (w *Watch) Slow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Slow()
}

// Out tells whether new connections should go to other nodes.
func (w *Watch) Out() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Out()
}

// Shed tells whether open connections should move too.
func (w *Watch) Shed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Shed()
}

// State gives what the state page shows.
func (w *Watch) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.State()
}
