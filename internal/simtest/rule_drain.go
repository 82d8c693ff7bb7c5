package simtest

// checkDrain holds an arrival against the time since the platform's list showed the replica as leaving. The time stands still while the platform is down. It runs while the core isn't settled, and binds a machine as soon as that is in touch; scenarios that don't ask for this are held to the time out of touch too.
func checkDrain(a *arrival) string {
	r := a.replica
	if r.state == "ready" || a.sender == nil {
		return ""
	}
	if a.w.platform.upFor(r.since, a.now) <= drainBound {
		return ""
	}
	if a.w.inTouchOnly && !a.w.inTouch(a.sender, a.now) {
		return ""
	}
	return "reached " + r.ID + ", which is " + r.state
}

// checkDrainKnown holds an arrival against what its sender knew: what was on its way may still come, what waited may not.
func checkDrainKnown(a *arrival) string {
	r, p := a.replica, a.sender
	if p == nil || p.gate == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.gate.MaySend(r.ID) {
		delete(r.knew, p.ip)
		return ""
	}
	knew, known := r.knew[p.ip]
	if !known {
		r.knew[p.ip] = a.now
		return ""
	}
	if a.now.Sub(knew) > onTheWay {
		return "was sent to " + r.ID + " by " + p.Name + ", which knew better"
	}
	return ""
}
