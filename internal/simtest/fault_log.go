package simtest

import "time"

// faultKind names a lasting fault.
type faultKind string

// Lasting faults.
const (
	faultPartition   faultKind = "cut"
	faultFreeze      faultKind = "frozen"
	faultSlowMachine faultKind = "slow"
	faultDisk        faultKind = "disk"
)

func faultKey(kind faultKind, process string) string { return string(kind) + " " + process }

// contactTimeout is contact_ms of the simulated settings.
const contactTimeout = 3 * time.Second

// faultLog is what the scenario did to machines and links, as far as the rules ask for it.
type faultLog struct {
	newest       time.Time            // anything unplanned
	newestInCore time.Time            // anything on a control machine or between them
	newestAt     map[string]time.Time // by process
	lasting      map[string]string    // what has not ended yet, and the process it is on
}

func newFaultLog() faultLog {
	return faultLog{newestAt: map[string]time.Time{}, lasting: map[string]string{}}
}

// addFaultLocked records an unplanned event at a process now; the caller holds the simulation's lock.
func (sim *Simulation) addFaultLocked(process string) {
	now := time.Now()
	sim.faults.newest = now
	sim.faults.newestAt[process] = now
	if isController(process) {
		sim.faults.newestInCore = now
	}
}

// addFault is addFaultLocked for callers that don't hold the simulation's lock.
func (sim *Simulation) addFault(process string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.addFaultLocked(process)
}

// setLasting records that a lasting fault has begun at a process, or that it has ended.
func (sim *Simulation) setLasting(kind faultKind, process string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	key := faultKey(kind, process)
	if on {
		sim.faults.lasting[key] = process
	} else {
		delete(sim.faults.lasting, key)
	}
	sim.addFaultLocked(process)
}

// endLasting records that all faults of one kind have ended.
func (sim *Simulation) endLasting(kind faultKind) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key, process := range sim.faults.lasting {
		if key == faultKey(kind, process) {
			delete(sim.faults.lasting, key)
			sim.addFaultLocked(process)
		}
	}
}

// isCalmSince reports whether nothing unplanned happened anywhere from contactTimeout before a time until now; the caller holds the simulation's lock.
func (sim *Simulation) isCalmSince(t time.Time) bool {
	return len(sim.faults.lasting) == 0 && sim.faults.newest.Before(t.Add(-contactTimeout))
}

// isHealthySince reports whether a process had no fault of its own from contactTimeout before a time until now; the caller holds the simulation's lock.
func (sim *Simulation) isHealthySince(process string, t time.Time) bool {
	for _, on := range sim.faults.lasting {
		if on == process {
			return false
		}
	}
	return sim.faults.newestAt[process].Before(t.Add(-contactTimeout))
}

// isCoreSettled reports whether most controllers run and none had a fault lately; the caller holds the simulation's lock.
func (sim *Simulation) isCoreSettled(now time.Time) bool {
	running := 0
	for name, p := range sim.processes {
		if isController(name) && !p.relay && p.isRunning() {
			running++
		}
	}
	for _, on := range sim.faults.lasting {
		if isController(on) {
			return false
		}
	}
	return running*2 > sim.coreSize && now.Sub(sim.faults.newestInCore) >= contactTimeout
}

// isConnected reports whether rules with a time bound apply to a machine; the caller holds the simulation's lock.
func (sim *Simulation) isConnected(p *Process, now time.Time) bool {
	return sim.isCoreSettled(now) && sim.isHealthySince(p.Name, now) && now.Sub(p.startedAt) >= contactTimeout
}
