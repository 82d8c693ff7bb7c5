package simtest

import "fmt"

// checkFreeRefusal holds a refusal against the room at the service's replicas: under half of their places may not be taken.
func checkFreeRefusal(w *World, x *exchange) string {
	if !x.promised() || x.route == nil || !w.calmSince(x.sentAt) {
		return ""
	}
	busy, slots := 0, 0
	for _, r := range w.replicas {
		if r.pool != x.route.Service || r.state != "ready" || r.cold > 0 {
			continue
		}
		if r.turnsAway() || !r.evacAt.IsZero() {
			return ""
		}
		taken, all := r.occupied()
		busy += taken
		slots += all
	}
	if slots == 0 || busy*2 >= slots {
		return ""
	}
	return fmt.Sprintf("was refused with %d while %d of %d places were taken", x.status, busy, slots)
}
