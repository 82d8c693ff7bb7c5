package simtest

// checkLost checks an exchange without a complete answer against the planned work around it: it must not be why the connection ended.
func checkLost(sim *Simulation, x *exchange) string {
	if x.status != 0 || !sim.planned.isNear(x) || !sim.isCalmSince(x.sentAt) {
		return ""
	}
	if !x.offered && x.took() <= lossSlack {
		return ""
	}
	if x.brokeOff || sim.planned.isWithinGrace(x) || x.gaveUp || x.isOutOfTime() {
		return ""
	}
	return "ended without an answer beside planned work"
}
