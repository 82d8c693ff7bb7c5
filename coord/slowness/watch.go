package slowness

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

// Watch steps a level on what this process measures of itself.
type Watch struct {
	sc    *task.Scope
	work  func() clock.Span
	mu    sync.Mutex
	level *Level
	last  clock.Moment // of the look before
}

// NewWatch makes a watch; work does and times the piece of work, nil for the usual one.
func NewWatch(sc *task.Scope, work func() clock.Span) *Watch {
	w := &Watch{sc: sc.Part("slowness"), work: work, level: NewLevel()}
	if work == nil {
		buf, sum := make([]byte, constants.LevelBytes), uint64(0)
		w.work = func() clock.Span {
			best := clock.Span(0)
			for range constants.LevelTimes {
				at := clock.Now()
				sum ^= xxhash.Sum64(buf)
				if d := clock.Since(at); best == 0 || d < best {
					best = d
				}
			}
			buf[0] = byte(sum)
			return best
		}
	}
	return w
}

// Look measures once. It is to be called each LevelEvery, and how much later it is called is part of what is seen.
func (w *Watch) Look() {
	now := clock.Now()
	work := w.work()
	w.mu.Lock()
	late := clock.Span(0)
	if !w.last.IsZero() {
		late = now.Sub(w.last) - constants.LevelEvery
	}
	w.last = now
	was := w.level.Out()
	w.level.Step(work, late)
	out, s := w.level.Out(), w.level.State()
	w.mu.Unlock()
	if out != was {
		w.sc.Log().Info("own machine", "slow", s.Slow, "out", out, "work_us", work.Microseconds(), "usual_us", int64(s.UsualUs), "late_ms", late.Milliseconds())
	}
}

// Hear takes what another node said of itself.
func (w *Watch) Hear(node string, slow bool) {
	w.mu.Lock()
	w.level.Hear(node, slow)
	w.mu.Unlock()
}

// Slow tells whether this machine is much slower than usual.
func (w *Watch) Slow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.level.Slow()
}

// Out tells whether new connections should go elsewhere.
func (w *Watch) Out() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.level.Out()
}

// Shed tells whether open connections should move too.
func (w *Watch) Shed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.level.Shed()
}

// State is for the state page.
func (w *Watch) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.level.State()
}
