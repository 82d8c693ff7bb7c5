package simtest

// checkLost holds an exchange without a complete answer against the planned work around it: it must not be why the connection ended.
func checkLost(w *World, x *exchange) string {
	if x.status != 0 || !w.planned.around(x) || !w.calmSince(x.sentAt) {
		return ""
	}
	if !x.offered && x.took() <= lossSlack {
		return ""
	}
	if x.brokeOff || w.planned.excused(x) || x.gaveUp || x.timeUp() {
		return ""
	}
	return "ended without an answer beside planned work"
}
