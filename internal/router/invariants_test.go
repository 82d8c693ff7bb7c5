package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/invariant"
	"shaletrestle/internal/mutation"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// violatedBy names what a change of a request that is in order violates.
func violatedBy(t *testing.T, check func(*request)) []invariant.Count {
	t.Helper()
	var found []invariant.Count
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, time.Second, stepOK)
		req := newRequest(sim.router, nil, &http.Request{Header: http.Header{}})
		req.id = "a"
		req.route = &routing.Route{Name: "r", MaxAttempts: 2}
		time.Sleep(2 * checkLifetime) // the first view has been in force
		check(req)
		found = sim.router.Invariants().Violations()
		sim.router.invariants = nil // the fault stays
		sim.end()
	})
	return found
}

// invariantCase is a request, or a router, and the one invariant that it violates.
type invariantCase struct {
	name  string
	want  invariant.Name // empty: none
	check func(*request)
}

func runInvariantCases(t *testing.T, cases []invariantCase) {
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			found := violatedBy(t, x.check)
			if x.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Equal(t, x.want, found[0].Name)
		})
	}
}

func TestInvariants_Sends_EachIsViolatedByItsFaultOnly(t *testing.T) {
	promised := &upstream.Part{Status: 503, Header: http.Header{upstream.HeaderNotExecuted: {"1"}}}
	runInvariantCases(t, []invariantCase{
		{"first send", "", func(q *request) { q.checkBeforeSend("r1") }},
		{"after a dial that failed", "", func(q *request) { q.ledger.add(false); q.checkBeforeSend("r1") }},
		{"after a promise", "", func(q *request) { q.ledger.add(true); q.ledger.takeBack(promised); q.checkBeforeSend("r1") }},
		{"after an answer", invariantUnsafeResend, func(q *request) {
			q.ledger.add(true)
			q.ledger.takeBack(&upstream.Part{Status: 500})
			q.checkBeforeSend("r1")
		}},
		{"idempotent after an answer", "", func(q *request) {
			q.route.Kind = routing.Idempotent
			q.ledger.add(true)
			q.checkBeforeSend("r1")
		}},
		{"third send of two", invariantAttemptLimit, func(q *request) {
			q.route.Kind = routing.Idempotent
			q.ledger.add(true)
			q.ledger.add(true)
			q.checkBeforeSend("r1")
		}},
		{"replica that is not listed", invariantAllowedReplica, func(q *request) { q.checkBeforeSend("r9") }},
		{"replica that has just been taken off the list", "", func(q *request) {
			require.NoError(t, q.router.store.Update(state.EncodeEvent(state.UpdateReplicas{Removed: []string{"r1"}})))
			q.checkBeforeSend("r1")
		}},
		{"replica that was taken off the list", invariantAllowedReplica, func(q *request) {
			require.NoError(t, q.router.store.Update(state.EncodeEvent(state.UpdateReplicas{Removed: []string{"r1"}})))
			time.Sleep(checkLifetime)
			q.checkBeforeSend("r1")
		}},
		{"evacuated zone", invariantAllowedReplica, func(q *request) {
			require.NoError(t, q.router.store.Update(state.EncodeEvent(state.EvacuateZone{Zone: "a"})))
			time.Sleep(checkLifetime)
			q.checkBeforeSend("r1")
		}},
	})
}

func TestInvariants_Answers_EachIsViolatedByItsFaultOnly(t *testing.T) {
	sealed := http.Header{upstream.HeaderAttemptID: {"a"}, upstream.HeaderSeal: {"s"}}
	runInvariantCases(t, []invariantCase{
		{"sealed success", "", func(q *request) { q.checkResponse(200, sealed) }},
		{"failure without a seal", "", func(q *request) { q.checkResponse(500, http.Header{}) }},
		{"success without a seal", invariantResponseIdentity, func(q *request) { q.checkResponse(200, http.Header{upstream.HeaderAttemptID: {"a"}}) }},
		{"success of another request", invariantResponseIdentity, func(q *request) { q.id = "b"; q.checkResponse(200, sealed) }},
		{"rejection unsent", "", func(q *request) { q.checkRejection() }},
		{"rejection after a send", invariantRejectedUnrun, func(q *request) { q.ledger.add(true); q.checkRejection() }},
		{"end with a cause", "", func(q *request) { q.trail.Finish(requestlog.Served, ""); q.checkEnd() }},
		{"end without a cause", invariantExplainedEnd, func(q *request) { q.checkEnd() }},
		{"quiet", "", func(q *request) { q.router.checkQuiet() }},
		{"body memory held", invariantReleasedResources, func(q *request) { q.router.bodies.Acquire("r", 5); q.router.checkQuiet() }},
		{"request forgotten", invariantReleasedResources, func(q *request) { q.router.counts.requests.Inc(); q.router.checkQuiet() }},
		{"body memory held by a request", "", func(q *request) {
			q.router.bodies.Acquire("r", 5)
			q.router.inflight.Inc()
			q.router.checkQuiet()
			q.router.inflight.Dec()
		}},
	})
}

// TestMutants_Invariants_FindThem plants faults in the request path that the invariants, not the judges of the simulation,
// have to name.
func TestMutants_Invariants_FindThem(t *testing.T) {
	const attempts = "../../coord/attempt/attempt.go"
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "invariants: everything may be repeated", File: attempts, From: "return idempotent || !h.MayHaveRun()", To: "return true", Run: "EveryPair", Shows: string(invariantUnsafeResend)},
		{Name: "invariants: no limit of sends", File: attempts, From: "if h.sends >= limit {", To: "if false {", Run: "EveryPair", Shows: string(invariantAttemptLimit)},
		{Name: "invariants: a send in part is forgotten", File: attempts, From: "return s == PartlySent || s == Sent || s == Answered", To: "return false", Run: "EveryPair", Shows: string(invariantRejectedUnrun)},
		{Name: "invariants: a success without a seal", File: "../upstream/reader.go", From: "return errNoSeal", To: "return nil", Run: "EveryPair", Shows: string(invariantResponseIdentity)},
		{Name: "invariants: body memory is kept", File: "accept.go", From: "\t\treq.router.bodies.Release(req.route.Name, req.reservedBytes)\n", To: "", Run: "Pipelined", Shows: string(invariantReleasedResources)},
		{Name: "invariants: memory of responses is kept", File: "../upstream/response_memory.go", From: "\ta.ended = true\n\tif a.taken > 0 {", To: "\ta.ended = true\n\tif a.taken < 0 {", Run: "EveryPair", Shows: string(invariantReleasedResources)},
		{Name: "invariants: a rejection without a cause", File: "finish.go", From: "\treq.trail.Finish(cause, detail)\n", To: "\t_ = cause\n\t_ = detail\n", Run: "EveryPair", Shows: string(invariantExplainedEnd)},
		{Name: "invariants: a replica that is leaving is sent to", File: "../placement/replica.go", From: "return r.listed.State == state.ReplicaReady && !r.evacuated", To: "_ = state.ReplicaReady\n\treturn !r.evacuated", Package: "../simtest", Run: "TestScenarios/drain$", Shows: string(invariantAllowedReplica)},
	})
}
