package emulator

import (
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// How faults show.
const (
	drainTime           = 3 * time.Second        // a draining replica serves on this long
	flapPeriod          = 700 * time.Millisecond // a flapping replica is up and down in turn for this long
	lyingSlowdown       = 8                      // a lying replica works so many times slower than it says
	partialFailureEvery = 3                      // a grey replica fails one request in so many, one with resets likewise
)

// applyFault gives the replica a fault and takes it away at the end.
func (r *Replica) applyFault(fault Fault) {
	duration := durations.FromSeconds(fault.ForS)
	switch fault.Kind {
	case Crash:
		r.crash(duration)
	case Flap:
		r.flap(duration)
	case Drain:
		r.drain(duration)
	case Cold:
		r.turnCold(duration)
	case Lying:
		r.beginLying(duration)
	default:
		r.setFault(fault.Kind)
		wait.Sleep(r.ctx, duration)
		r.setFault("")
	}
}

func (r *Replica) setFault(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

func (r *Replica) crash(duration time.Duration) {
	r.stop()
	if wait.Sleep(r.ctx, duration) {
		_ = r.start(false)
	}
}

func (r *Replica) flap(duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		r.stop()
		if !wait.Sleep(r.ctx, flapPeriod) {
			return
		}
		if r.start(false) != nil {
			return
		}
		if !wait.Sleep(r.ctx, flapPeriod) {
			return
		}
	}
}

func (r *Replica) drain(duration time.Duration) {
	r.mu.Lock()
	r.setState(replicaDraining)
	r.mu.Unlock()
	if wait.Sleep(r.ctx, drainTime+defaultListLag+drainTime/2) {
		r.stop()
	}
	if wait.Sleep(r.ctx, duration) {
		_ = r.start(false)
	}
}

func (r *Replica) turnCold(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmFrom = time.Now().Add(duration)
}

func (r *Replica) beginLying(duration time.Duration) {
	r.beginFault(Lying, lyingSlowdown)
	wait.Sleep(r.ctx, duration)
	r.beginFault("", 1)
}

// beginFault sets a fault and begins with an empty memory, slower by a factor.
func (r *Replica) beginFault(fault string, slower float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	r.resetModel(slower)
}
