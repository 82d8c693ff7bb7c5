package emulator

import (
	"time"

	"shaletrestle/internal/clock"
)

// trouble gives the replica a fault and takes it away at the end.
func (r *Replica) trouble(trouble Trouble) {
	duration := clock.Seconds(trouble.ForS)
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
		clock.Rest(r.scope, duration)
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
	if clock.Rest(r.scope, duration) {
		_ = r.start(false)
	}
}

func (r *Replica) flap(duration time.Duration) {
	end := clock.Now().Add(duration)
	for clock.Now().Before(end) {
		r.stop()
		if !clock.Rest(r.scope, yardFlap) {
			return
		}
		if r.start(false) != nil {
			return
		}
		if !clock.Rest(r.scope, yardFlap) {
			return
		}
	}
}

func (r *Replica) drain(duration time.Duration) {
	r.mu.Lock()
	r.setState(replicaDraining)
	r.mu.Unlock()
	if clock.Rest(r.scope, yardDrain+yardLag+yardDrain/2) {
		r.stop()
	}
	if clock.Rest(r.scope, duration) {
		_ = r.start(false)
	}
}

func (r *Replica) turnCold(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmFrom = clock.Now().Add(duration)
}

func (r *Replica) lie(duration time.Duration) {
	r.beginFault(Lying, yardSlow)
	clock.Rest(r.scope, duration)
	r.beginFault("", 1)
}

// beginFault sets a fault and begins with an empty memory, slower by a factor.
func (r *Replica) beginFault(fault string, slower float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	r.resetModel(slower)
}
