package simtest

import "time"

// ongoingKind names a trouble that lasts.
type ongoingKind string

// Troubles that last.
const (
	linkCut     ongoingKind = "cut"
	frozen      ongoingKind = "frozen"
	machineSlow ongoingKind = "slow"
	diskIll     ongoingKind = "disk"
)

func ongoingKey(kind ongoingKind, process string) string { return string(kind) + " " + process }

// contact is contact_ms of the simulated settings.
const contact = 3 * time.Second

// troubles is what the scenario did to machines and links, as far as the rules ask for it.
type troubles struct {
	last    time.Time            // anything unplanned
	core    time.Time            // anything on a control machine or between them
	machine map[string]time.Time // by process
	ongoing map[string]string    // what has not ended yet, and the process it is on
}

func newTroubles() troubles {
	return troubles{machine: map[string]time.Time{}, ongoing: map[string]string{}}
}

// trouble notes something unplanned that befell a process just now; the caller holds the world.
func (w *World) trouble(process string) {
	now := time.Now()
	w.troubles.last = now
	w.troubles.machine[process] = now
	if isController(process) {
		w.troubles.core = now
	}
}

// troubled is trouble for callers that don't hold the world.
func (w *World) troubled(process string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble(process)
}

// setOngoing notes that a trouble of one kind has begun at a process, or that it has ended.
func (w *World) setOngoing(kind ongoingKind, process string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := ongoingKey(kind, process)
	if on {
		w.troubles.ongoing[key] = process
	} else {
		delete(w.troubles.ongoing, key)
	}
	w.trouble(process)
}

// endOngoing notes that all troubles of one kind have ended.
func (w *World) endOngoing(kind ongoingKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, process := range w.troubles.ongoing {
		if key == ongoingKey(kind, process) {
			delete(w.troubles.ongoing, key)
			w.trouble(process)
		}
	}
}

// calmSince tells whether nothing unplanned happened anywhere from contact before a time until now; the caller holds the world.
func (w *World) calmSince(t time.Time) bool {
	return len(w.troubles.ongoing) == 0 && w.troubles.last.Before(t.Add(-contact))
}

// wellSince tells whether a process had no trouble of its own from contact before a time until now; the caller holds the world.
func (w *World) wellSince(process string, t time.Time) bool {
	for _, on := range w.troubles.ongoing {
		if on == process {
			return false
		}
	}
	return w.troubles.machine[process].Before(t.Add(-contact))
}

// settled tells whether the core is settled: most of it runs, and nothing has befallen it lately; the caller holds the world.
func (w *World) settled(now time.Time) bool {
	running := 0
	for name, p := range w.procs {
		if isController(name) && !p.relay && p.running() {
			running++
		}
	}
	for _, on := range w.troubles.ongoing {
		if isController(on) {
			return false
		}
	}
	return running*2 > w.coreSize && now.Sub(w.troubles.core) >= contact
}

// inTouch tells whether a machine is held to rules with a time bound; the caller holds the world.
func (w *World) inTouch(p *Proc, now time.Time) bool {
	return w.settled(now) && w.wellSince(p.Name, now) && now.Sub(p.startedAt) >= contact
}

// isController tells a controller's name from a router's.
func isController(process string) bool { return process != "" && process[0] == 'h' }
