package simtest

import (
	"fmt"
	"time"
)

// timeoutSlack is how long past its route's timeout a request may be held.
const timeoutSlack = 250 * time.Millisecond

// isOutOfTime reports whether the client's time or the route's was over when an exchange ended.
func (x *exchange) isOutOfTime() bool {
	return x.took() >= x.timeLimit()
}

// timeLimit is the time that a request has: the client's, or the route's if that is shorter.
func (x *exchange) timeLimit() time.Duration {
	if x.route == nil {
		return x.budget
	}
	return min(x.budget, x.route.timeout())
}

// checkHeldPastTimeout checks the time that a healthy router kept a request against its route's timeout.
func checkHeldPastTimeout(sim *Simulation, x *exchange) string {
	if x.route == nil || !sim.isHealthySince(x.router, x.sentAt) {
		return ""
	}
	if x.took() <= x.route.timeout()+timeoutSlack {
		return ""
	}
	return fmt.Sprintf("was held for %v, its route allows %v", x.took(), x.route.timeout())
}

// checkUnoffered checks a request that no replica has seen against the time that it was held.
func checkUnoffered(sim *Simulation, x *exchange) string {
	if x.route == nil || x.served() || x.offered || !sim.isHealthySince(x.router, x.sentAt) {
		return ""
	}
	if !x.gaveUp && x.took() <= x.timeLimit()/2 {
		return ""
	}
	return fmt.Sprintf("was held for %v and never offered to a replica", x.took())
}
