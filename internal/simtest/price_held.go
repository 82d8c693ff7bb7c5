package simtest

import (
	"fmt"
	"time"
)

// timeoutSlack is how long past its route's timeout a request may be held.
const timeoutSlack = 250 * time.Millisecond

// timeUp tells whether the client's time or the route's was over when an exchange ended.
func (x *exchange) timeUp() bool {
	return x.took() >= x.allowed()
}

// allowed is the time that a request has: the client's, or the route's if that is shorter.
func (x *exchange) allowed() time.Duration {
	if x.route == nil {
		return x.budget
	}
	return min(x.budget, x.route.timeout())
}

// checkHeldTimeout holds the time that a machine without trouble held a request against its route's timeout.
func checkHeldTimeout(w *World, x *exchange) string {
	if x.route == nil || !w.wellSince(x.router, x.sentAt) {
		return ""
	}
	if x.took() <= x.route.timeout()+timeoutSlack {
		return ""
	}
	return fmt.Sprintf("was held for %v, its route allows %v", x.took(), x.route.timeout())
}

// checkUnoffered holds a request that no replica has seen against the time that it was held.
func checkUnoffered(w *World, x *exchange) string {
	if x.route == nil || x.served() || x.offered || !w.wellSince(x.router, x.sentAt) {
		return ""
	}
	if !x.gaveUp && x.took() <= x.allowed()/2 {
		return ""
	}
	return fmt.Sprintf("was held for %v and never offered to a replica", x.took())
}
