package router

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/upstream"
)

// largeBodyBytes is more than a router holds of a body until it is complete.
const largeBodyBytes = 300 << 10

// largeAnswer makes a step's answer with a large body, in chunks or with a length.
func largeAnswer(status int, headers string, chunked bool) func(int, *http.Request) string {
	return func(n int, r *http.Request) string {
		body := fmt.Sprint("body of ", n, strings.Repeat(" and on", largeBodyBytes/7))
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%s", status, r.Header.Get("Attempt-Id"), strings.ReplaceAll(headers, "SEAL", "Replica-Seal: "+sealOf(n)))
		if !chunked {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
}

// largeSteps are responses with large bodies, of every kind of status.
func largeSteps() []step {
	var all []step
	for _, chunked := range []bool{false, true} {
		all = append(all,
			step{name: "large", text: largeAnswer(200, "SEAL\r\n", chunked), runs: true, sent: -1},
			step{name: "large error", text: largeAnswer(500, "SEAL\r\n", chunked), runs: true, sent: -1},
			step{name: "large 504", text: largeAnswer(504, "SEAL\r\n", chunked), runs: true, sent: -1},
			step{name: "large 404", text: largeAnswer(404, "SEAL\r\n", chunked), runs: true, sent: -1},
			step{name: "large 503 that ran", text: largeAnswer(503, "SEAL\r\n", chunked), runs: true, sent: -1},
			step{name: "large misdirected", text: largeAnswer(421, "", chunked), sent: -1},
			step{name: "large 400 that did not run", text: largeAnswer(400, "SEAL\r\nNot-Executed: 1\r\n", chunked), sent: -1},
			step{name: "large refusal", text: largeAnswer(503, "Not-Executed: 1\r\n", chunked), sent: -1},
		)
	}
	return all
}

func TestServe_LargeBodies_EveryPairWithOthers(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		for _, large := range largeSteps() {
			for _, other := range []step{stepOK, stepFull, stepError, stepReset, stepSilent, stepStream, largeSteps()[0]} {
				play(t, route, clientTimeBudget, large.name+", "+other.name, large, other, stepFull)
				play(t, route, clientTimeBudget, other.name+", "+large.name, other, large, stepFull)
			}
		}
	})
}

// TestServe_LargeBodyCut_IsNeverComplete cuts large bodies before and after a router begins to pass them on.
func TestServe_LargeBodyCut_IsNeverComplete(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		for _, first := range largeSteps() {
			length := len(first.text(1, &http.Request{Header: http.Header{"Attempt-Id": {"first"}}}))
			for _, sent := range []int{500, 70_000, 262_144, 270_000, length - 2, length - 1} {
				for _, how := range []ending{resets, silence} {
					cut := first
					cut.sent, cut.ending = sent, how
					play(t, route, clientTimeBudget, fmt.Sprint(first.name, " cut at ", sent), cut, stepOK)
				}
			}
		}
	})
}

func TestServe_LargeBody_IsPassedOnWhole(t *testing.T) {
	for _, first := range largeSteps()[:1] {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, clientTimeBudget, first)
			defer sim.end()
			client := sim.client()
			got := sim.ask(client, bufio.NewReader(client), "once", "first")
			require.Equal(t, http.StatusOK, got.status)
			require.True(t, got.complete)
			require.Greater(t, len(got.body), largeBodyBytes-100)
			require.Equal(t, fmt.Sprint(len(got.body)), got.head.Get("Content-Length"))
		})
	}
}

// TestServe_EndlessHead_FailsAtOnceAndNamesTheReplica guards against heads that grow until a router is killed.
func TestServe_EndlessHead_FailsAtOnceAndNamesTheReplica(t *testing.T) {
	endless := step{name: "endless head", runs: true, sent: -1, ending: silence, text: func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nPadding: " + strings.Repeat("x", 1<<20)
	}}
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, clientTimeBudget, endless)
		defer sim.end()
		client := sim.client()
		got := sim.ask(client, bufio.NewReader(client), "once", "first")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Zero(t, got.took)
		require.Equal(t, upstream.ReasonHeadTooLarge, onlyFailure(t, sim.router))
		for _, stats := range sim.router.Health() {
			require.NotZero(t, stats)
		}
		require.Len(t, sim.router.Health(), 1)
	})
}

// onlyFailure is the one reason for which responses of the router's replicas failed.
func onlyFailure(t *testing.T, r *Router) upstream.FailureReason {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []upstream.FailureCount
	for _, pool := range r.pools {
		all = append(all, pool.Failures()...)
	}
	require.Len(t, all, 1)
	return all[0].Reason
}

// TestServe_BodyTricklesPastTheDeadline_CountsAgainstTheReplica guards against a replica that holds each request until its deadline
// and stays as good as any.
func TestServe_BodyTricklesPastTheDeadline_CountsAgainstTheReplica(t *testing.T) {
	for _, text := range []func(int, *http.Request) string{answer(200, "SEAL\r\n"), largeAnswer(200, "SEAL\r\n", true)} {
		length := len(text(1, &http.Request{Header: http.Header{"Attempt-Id": {"first"}}}))
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, clientTimeBudget, step{text: text, runs: true, sent: length - 1, ending: silence})
			defer sim.end()
			client := sim.client()
			got := sim.ask(client, bufio.NewReader(client), "once", "first")
			require.False(t, got.complete && got.status == http.StatusOK)
			require.Len(t, sim.router.Health(), 1)
		})
	}
}
