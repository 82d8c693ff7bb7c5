package simtest

import "time"

// Bounds of planned work, as in the simulated settings.
const (
	gracePeriod = 8 * time.Second
	configApply = 3 * time.Second
	lossSlack   = time.Second
)

// planned is the work that the rules call planned: orderly ends, reloads, configurations.
type planned struct {
	leaving    map[string]time.Time // by process: when it got its SIGTERM
	reloaded   map[string]time.Time // by process: when it got its SIGHUP
	configFrom time.Time            // the newest configuration was sent
	configTill time.Time            // it is in force everywhere
}

func newPlanned() planned {
	return planned{leaving: map[string]time.Time{}, reloaded: map[string]time.Time{}}
}

// isNear reports whether an exchange that ended without an answer did so beside planned work on its machine.
func (p *planned) isNear(x *exchange) bool {
	if at, ok := p.leaving[x.router]; ok && !x.endedAt.Before(at) && x.endedAt.Before(at.Add(gracePeriod+time.Second)) {
		return true
	}
	at, ok := p.reloaded[x.router]
	return ok && x.sentAt.Before(at.Add(configApply)) && x.endedAt.After(at)
}

// isWithinGrace reports whether its replica was still at work in the second half of the grace.
func (p *planned) isWithinGrace(x *exchange) bool {
	at, ok := p.leaving[x.router]
	return ok && x.offered && x.endedAt.After(at.Add(gracePeriod/2))
}
