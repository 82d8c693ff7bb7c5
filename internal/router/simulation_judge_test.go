package router

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The judge of a simulation: it compares what a client saw with what the replicas saw.

// judge checks one try by the rules.
func (sim *simulation) judge(route string, got *received, timeout time.Duration) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var mine []*delivery
	for _, d := range sim.deliveries {
		if d.id == got.id || !d.complete {
			mine = append(mine, d)
		}
	}
	for _, check := range []func(string, *received, []*delivery) string{judgeSending, judgePromise, judgeSeal, judgeSuccess, judgeStream} {
		if wrong := check(route, got, mine); wrong != "" {
			return wrong
		}
	}
	if got.took > min(timeout, clientTimeBudget)+deadlineSlack {
		return fmt.Sprint("held too long: ", got.took)
	}
	return ""
}

func repeatable(route string) bool { return route == "repeat" || route == "resume" }

// judgeSending: TWICE and the bound on attempts. Each sending of which a byte came counts.
func judgeSending(route string, _ *received, ds []*delivery) string {
	if len(ds) > maxAttempts {
		return "more sendings than max_attempts"
	}
	open := 0
	for _, d := range ds {
		if !d.rejected {
			open++
		}
		if !d.rejected && d != ds[len(ds)-1] && !repeatable(route) {
			return "sent again though it may have run"
		}
	}
	if open > 1 && !repeatable(route) {
		return "may run twice"
	}
	return ""
}

// judgePromise: REFUSED, held for all kinds of routes.
func judgePromise(_ string, got *received, ds []*delivery) string {
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		for _, d := range ds {
			if !d.rejected {
				return fmt.Sprint("a promise that does not hold: ", got.status)
			}
		}
	}
	return ""
}

// judgeSeal: a seal stands only on the status of the replica that gave it.
func judgeSeal(_ string, got *received, ds []*delivery) string {
	seal := got.head.Get("Replica-Seal")
	if got.silent || seal == "" {
		return ""
	}
	for _, d := range ds {
		if d.seal == seal && d.status == got.status {
			return ""
		}
	}
	return "a seal on another status"
}

// judgeSuccess: a success is a replica's, with its id and seal, and complete if it looks so.
func judgeSuccess(_ string, got *received, ds []*delivery) string {
	if got.silent || got.status >= 300 {
		return ""
	}
	if got.head.Get("Attempt-Id") != got.id || got.head.Get("Replica-Seal") == "" {
		return "a success that is nobody's"
	}
	if !got.complete || strings.HasPrefix(got.head.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	for _, d := range ds {
		if d.seal == got.head.Get("Replica-Seal") && d.body == got.body {
			return ""
		}
	}
	return "a success with another body"
}

// judgeStream: ORDER.
func judgeStream(_ string, got *received, _ []*delivery) string {
	if got.silent || !strings.HasPrefix(got.head.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	complete := ""
	for i := 1; i <= streamEvents; i++ {
		complete += fmt.Sprintf("id: %d\nd: x\n\n", i)
	}
	if !strings.HasPrefix(complete, got.body) {
		return "events missing, twice or of two runs"
	}
	if got.complete && got.body != complete {
		return "a cut stream that looks complete"
	}
	return ""
}
