package router

import (
	"time"

	"shaletrestle/internal/upstream"
)

// limitLogInterval is the time between two log lines on one replica whose responses go over a limit.
const limitLogInterval = 10 * time.Second

// logLimit says that a response of a replica went over a limit, once in limitLogInterval; the metrics count each.
func (r *Router) logLimit(replica string, reason upstream.FailureReason) {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.limitLoggedAt[replica]) >= limitLogInterval
	if due {
		r.limitLoggedAt[replica] = now
	}
	r.mu.Unlock()
	if due {
		r.log.Warn("response over a limit", "part", "router", "replica", replica, "reason", reason.String())
	}
}
