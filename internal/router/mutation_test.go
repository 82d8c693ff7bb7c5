package router

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestTheModelFindsMutants shows that each mechanism is needed and that the model sees when it is missing.
func TestTheModelFindsMutants(t *testing.T) {
	const attempts = "../../coord/attempt/attempt.go"
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "sent in part counts as not run", File: attempts, From: "return s == PartlySent || s == Sent || s == Answered", To: "return s == Sent || s == Answered", Run: "RequestCutAtEveryByte"},
		{Name: "a silent replica counts as not run", File: attempts, From: "return s == PartlySent || s == Sent || s == Answered", To: "return s == PartlySent || s == Answered", Run: "EveryPair"},
		{Name: "everything may be repeated", File: attempts, From: "return idempotent || !h.MayHaveRun()", To: "return true", Run: "EveryPair"},
		{Name: "sendings are not counted", File: attempts, From: "\t\th.sends++\n", To: "", Run: "EveryPair"},
		{Name: "a new sending forgets the earlier ones", File: attempts, From: "h.earlierRuns = h.MayHaveRun()", To: "h.earlierRuns = false", Run: "EveryPair"},
		{Name: "a replica's own 503 is passed on", File: "finish.go", From: "http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:", To: "0:", Run: "EveryPair"},
		{Name: "a seal on an answer of our own", File: "relay.go", From: "\t\treq.fail(errkind.UpstreamFailure, \"the replica refused", To: "\t\tcopyResponseHeader(req.writer.Header(), response.Header)\n\t\treq.fail(errkind.UpstreamFailure, \"the replica refused", Run: "EveryPair"},
		{Name: "a cut stream ends as complete", File: "finish.go", From: "panic(http.ErrAbortHandler) // the client must see that it is incomplete", To: "return", Run: "ResponseCutAtEveryByte"},
		{Name: "events of any run are joined", File: "relay.go", From: "if !req.mayFollow(event.ID, *joined) {", To: "if false {", Run: "EveryPair|ResponseCutAtEveryByte|Joined"},
		{Name: "a gone client gets an empty success", File: "finish.go", From: "\treq.trail.Finish(requestlog.ClientGone, \"\")\n\tpanic(http.ErrAbortHandler)", To: "\treq.trail.Finish(requestlog.ClientGone, \"\")", Run: "HalfClosed"},
		{Name: "no time before the first byte", File: "attempt.go", From: "NotAfter:  notAfter,", To: "NotAfter:  notAfter.Add(1 << 60),", Run: "Frozen"},
		{Name: "the route's timeout is not looked at", File: "admit.go", From: "min(clientTimeout(req.inbound.Header), req.route.Timeout)", To: "clientTimeout(req.inbound.Header)", Run: "EveryRequestEndsInTime"},
		{Name: "a large body that breaks off is tried again", File: "attempt.go", From: "resumable := !req.started || req.lastEventID >= 0 && !req.passing", To: "resumable := true", Run: "LargeBod"},
		{Name: "a large failure is passed on with a promise", File: "pass.go", From: "case impliesNotExecuted(head.Status):", To: "case false:", Run: "LargeBod"},
		{Name: "a large refusal is passed on", File: "pass.go", From: "case upstream.IsNotExecuted(head.Status, head.Header):", To: "case upstream.IsNotExecuted(0, nil):", Run: "LargeBod"},
		{Name: "a wait goes on past the deadline", File: "receive.go", From: "wait := time.Until(req.deadline)\n", To: "wait := time.Until(req.deadline) + req.route.Timeout\n", Run: "EveryRequestEndsInTime"},
	})
}
