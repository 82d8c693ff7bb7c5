package invariant

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

// logInterval is the least time between two lines of the log on the same invariant.
const logInterval = 10 * time.Second

// LogMessage is the message of the lines that report violations: soak runs look for it.
const LogMessage = "invariant violated"

// Name names an invariant. Names are stable: they are values of a label in metrics.
type Name string

// Count is how often an invariant was violated since the recorder was made.
type Count struct {
	Name       Name
	Violations int64
}

// Recorder counts violations.
type Recorder struct {
	log *slog.Logger

	mu    sync.Mutex // guards the fields below
	names []Name     // in the order given
	state map[Name]*violations
}

// violations are those of one invariant.
type violations struct {
	count      int64
	logged     time.Time // when the last line was written; zero: none was
	suppressed int64     // violations without a line since then
}

// NewRecorder returns a recorder of the named invariants, without violations.
func NewRecorder(log *slog.Logger, names ...Name) *Recorder {
	r := &Recorder{log: log.With("part", "invariant"), state: map[Name]*violations{}}
	for _, name := range names {
		r.stateOf(name)
	}
	return r
}

// stateOf finds the violations of an invariant, and adds one that was not named before; the caller holds the lock, or is
// the constructor.
func (r *Recorder) stateOf(name Name) *violations {
	found := r.state[name]
	if found == nil {
		found = &violations{}
		r.names = append(r.names, name)
		r.state[name] = found
	}
	return found
}

// Violated records a violation. The evidence is keys and values as for [slog.Logger.Error].
func (r *Recorder) Violated(name Name, evidence ...any) {
	if r == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	found := r.stateOf(name)
	found.count++
	write := found.logged.IsZero() || now.Sub(found.logged) >= logInterval
	suppressed := found.suppressed
	if write {
		found.logged, found.suppressed = now, 0
	} else {
		found.suppressed++
	}
	r.mu.Unlock()
	if write {
		r.log.Error(LogMessage, slices.Concat([]any{"invariant", string(name), "suppressed", suppressed}, evidence)...)
	}
}

// Check records a violation unless the condition holds.
func (r *Recorder) Check(holds bool, name Name, evidence ...any) {
	if !holds {
		r.Violated(name, evidence...)
	}
}

// Counts lists all invariants, those without violations too, in the order in which they were named.
func (r *Recorder) Counts() []Count {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]Count, 0, len(r.names))
	for _, name := range r.names {
		counts = append(counts, Count{name, r.state[name].count})
	}
	return counts
}

// Violations lists the invariants that were violated.
func (r *Recorder) Violations() []Count {
	return slices.DeleteFunc(r.Counts(), func(count Count) bool { return count.Violations == 0 })
}
