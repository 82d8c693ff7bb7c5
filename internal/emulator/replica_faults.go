package emulator

import (
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// trouble gives the replica a fault and takes it away at the end.
func (r *Replica) trouble(trouble Trouble) {
	duration := durations.FromSeconds(trouble.ForS)
	switch trouble.How {
	case Crash:
		r.crash(duration)
	case Flap:
		r.flap(duration)
	case Drain:
		r.drain(duration)
	case Cold:
		r.turnCold(duration)
	case Lying:
		r.lie(duration)
	default:
		r.setFault(trouble.How)
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
		if !wait.Sleep(r.ctx, yardFlap) {
			return
		}
		if r.start(false) != nil {
			return
		}
		if !wait.Sleep(r.ctx, yardFlap) {
			return
		}
	}
}

func (r *Replica) drain(duration time.Duration) {
	r.mu.Lock()
	r.setState(replicaDraining)
	r.mu.Unlock()
	if wait.Sleep(r.ctx, yardDrain+yardLag+yardDrain/2) {
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

func (r *Replica) lie(duration time.Duration) {
	r.beginFault(Lying, yardSlow)
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
