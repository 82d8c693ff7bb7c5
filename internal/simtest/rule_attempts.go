package simtest

import "fmt"

// checkRunsOnce checks a request that has just run against the number of times that it may.
func checkRunsOnce(r *request) string {
	if r.once && r.runs > 1 {
		return fmt.Sprintf("%s ran %d times", r.id, r.runs)
	}
	return ""
}

// checkAttempts checks an attempt against the number of replicas that its route lets it run on.
func checkAttempts(r *request) string {
	if r.route == nil || len(r.ranOn) <= r.route.MaxAttempts {
		return ""
	}
	return fmt.Sprintf("%s ran on %d replicas, its route allows %d", r.id, len(r.ranOn), r.route.MaxAttempts)
}
