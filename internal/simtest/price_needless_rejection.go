package simtest

import "fmt"

// checkNeedlessRejection checks a rejection against the free capacity of the pool's replicas: at least half of their slots must be taken.
func checkNeedlessRejection(sim *Simulation, x *exchange) string {
	if !x.isRejection() || x.route == nil || !sim.isCalmSince(x.sentAt) {
		return ""
	}
	busy, slots := 0, 0
	for _, r := range sim.replicas {
		if r.pool != x.route.Service || r.state != "ready" || r.warmupLeftMs > 0 {
			continue
		}
		if r.isRejecting() || !r.evacuatedAt.IsZero() {
			return ""
		}
		taken, all := r.occupied()
		busy += taken
		slots += all
	}
	if slots == 0 || busy*2 >= slots {
		return ""
	}
	return fmt.Sprintf("was rejected with %d while %d of %d slots were taken", x.status, busy, slots)
}
