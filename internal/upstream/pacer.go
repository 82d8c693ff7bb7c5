package upstream

import (
	"sync"
	"time"
)

const (
	// workPerSecond is how many units of work one replica's bytes may cost a second. A unit is some 10 µs of a core: an event, a
	// read of few bytes, or so many chunks as workFramingBytes hold.
	workPerSecond = 4000
	// workBurst is how many units may come at once.
	workBurst = workPerSecond
	// workFramingBytes are the bytes of framing that cost a unit.
	workFramingBytes = 512
	// smallReadBytes is the length below which a read costs a unit, whatever comes of it.
	smallReadBytes = 512
)

// pacer bounds the work that the bytes of one replica cost a second: a token bucket. It is safe for concurrent use; nil bounds
// nothing.
type pacer struct {
	mu        sync.Mutex // guards the fields below
	available float64    // units; below 0 when they were taken in advance
	at        time.Time  // when that was; zero: never
}

// take takes units and returns how long the caller must wait before it goes on.
func (p *pacer) take(units int) time.Duration {
	if p == nil || units == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.at.IsZero() {
		p.available = workBurst
	} else {
		p.available = min(workBurst, p.available+workPerSecond*now.Sub(p.at).Seconds())
	}
	p.at = now
	p.available -= float64(units)
	if p.available >= 0 {
		return 0
	}
	return time.Duration(-p.available / workPerSecond * float64(time.Second))
}

// pace takes units of the replica's work and waits until it may go on; false if nobody wants the response any more.
func (x *exchange) pace(units int) bool {
	wait := x.pacer.take(units)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.abandoned:
		return false
	}
}
