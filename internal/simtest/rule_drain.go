package simtest

// checkDrain checks an arrival against the time since the platform's list showed the replica as leaving. The time stands still while the platform is down. It runs while the core isn't settled, and binds a machine as soon as that is in touch; scenarios that don't ask for this are held to the time out of touch too.
func checkDrain(a *arrival) string {
	r := a.replica
	if r.state == "ready" || a.sender == nil {
		return ""
	}
	if a.sim.platform.upFor(r.since, a.now) <= drainBound {
		return ""
	}
	if a.sim.connectedOnly && !a.sim.isConnected(a.sender, a.now) {
		return ""
	}
	return "reached " + r.ID + ", which is " + r.state
}

// checkDrainKnown checks an arrival against what its sender knew: what was on its way may still come, what waited may not.
func checkDrainKnown(a *arrival) string {
	r, p := a.replica, a.sender
	if p == nil || p.router == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.router.MaySend(r.ID) {
		delete(r.knownUnavailable, p.ip)
		return ""
	}
	knew, known := r.knownUnavailable[p.ip]
	if !known {
		r.knownUnavailable[p.ip] = a.now
		return ""
	}
	if a.now.Sub(knew) > inFlight {
		return "was sent to " + r.ID + " by " + p.Name + ", which knew better"
	}
	return ""
}
