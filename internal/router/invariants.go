package router

import (
	"net/http"
	"time"

	"shaletrestle/coord/distribution"
	"shaletrestle/coord/invariant"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/state"
	"shaletrestle/internal/upstream"
)

// The invariants that a router checks while it runs (docs/invariants.md). Each is judged by state of its own, not by what
// the checked code decides on.
const (
	invariantRevisionOrder     invariant.Name = "revision_order"          // the configuration in force never goes back
	invariantUnsafeResend      invariant.Name = "attempt_unsafe_resend"   // what may have run and is not idempotent is not sent again
	invariantAttemptLimit      invariant.Name = "attempt_limit"           // at most max_attempts sends
	invariantAllowedReplica    invariant.Name = "send_disallowed_replica" // nothing is sent to a replica known as draining, gone or evacuated
	invariantResponseIdentity  invariant.Name = "response_identity"       // a relayed success bears the Attempt-Id asked for and a seal
	invariantRejectedUnrun     invariant.Name = "rejected_after_run"      // a rejection promises the truth
	invariantExplainedEnd      invariant.Name = "unexplained_end"         // each request ends with a cause
	invariantReleasedResources invariant.Name = "resources_released"      // without requests nothing is held
)

// newInvariants makes the recorder of a router's invariants, those of its follower among them.
func (r *Router) newInvariants() *invariant.Recorder {
	return invariant.NewRecorder(r.log, distribution.InvariantUpdateOrder, invariantRevisionOrder, invariantUnsafeResend,
		invariantAttemptLimit, invariantAllowedReplica, invariantResponseIdentity, invariantRejectedUnrun,
		invariantExplainedEnd, invariantReleasedResources)
}

// Invariants are those that this router checks, with their violations.
func (r *Router) Invariants() *invariant.Recorder { return r.invariants }

// sendLedger is what the invariants know of a request's sends, apart from attempt.History, which decides on them.
type sendLedger struct {
	sends   int // of which a byte left this process
	unclear int // of these, those that no replica promised not to have run
}

// add counts a send by whether a byte of it left.
func (l *sendLedger) add(byteLeft bool) {
	if byteLeft {
		l.sends++
		l.unclear++
	}
}

// takeBack takes a complete answer: the newest send did not run if its head says so.
func (l *sendLedger) takeBack(head *upstream.Part) {
	if head.Status == http.StatusMisdirectedRequest || head.Header.Get(upstream.HeaderNotExecuted) != "" {
		l.unclear--
	}
}

// timedView is a view and when this process took it into use.
type timedView struct {
	view *state.View
	at   time.Time
}

// checkBeforeSend checks that a request may be sent to a replica now.
func (req *request) checkBeforeSend(replicaID string) {
	invariants := req.router.invariants
	invariants.Check(req.ledger.unclear == 0 || req.route.IsRetriable(), invariantUnsafeResend,
		"attempt_id", req.id, "route", req.route.Name, "replica", replicaID, "sends", req.ledger.sends)
	invariants.Check(req.ledger.sends < req.route.MaxAttempts, invariantAttemptLimit,
		"attempt_id", req.id, "route", req.route.Name, "replica", replicaID, "sends", req.ledger.sends, "max_attempts", req.route.MaxAttempts)
	if reason := req.router.disallowed(replicaID); reason != "" {
		invariants.Violated(invariantAllowedReplica, "attempt_id", req.id, "route", req.route.Name, "replica", replicaID, "reason", reason)
	}
}

// disallowed says why a replica may not be sent to by the newest view, if that has been in force for checkLifetime: what
// was checked before a send is good for so long. Empty: it may be.
func (r *Router) disallowed(replicaID string) string {
	newest := r.newestView.Load()
	if newest == nil || time.Since(newest.at) < checkLifetime {
		return ""
	}
	view := newest.view
	replica := view.Replicas[replicaID]
	switch {
	case replica == nil:
		return "not listed"
	case replica.State != state.ReplicaReady:
		return replica.State
	case view.Evacuated[replica.Zone]:
		return "zone evacuated"
	}
	return ""
}

// checkResponse checks what goes to a client as a success: its Attempt-Id and that it is sealed.
func (req *request) checkResponse(status int, header http.Header) {
	if status < 200 || status > 299 {
		return
	}
	id, seal := header.Get(upstream.HeaderAttemptID), header.Get(upstream.HeaderSeal)
	req.router.invariants.Check(id == req.id && seal != "", invariantResponseIdentity,
		"attempt_id", req.id, "answered_id", id, "sealed", seal != "", "status", status)
}

// checkRejection checks that a request that is answered with a promise that it never ran was not sent, or came back each
// time with that promise.
func (req *request) checkRejection() {
	req.router.invariants.Check(req.ledger.unclear == 0, invariantRejectedUnrun, "attempt_id", req.id, "sends", req.ledger.sends)
}

// checkEnd checks that a request that has ended is explained.
func (req *request) checkEnd() {
	req.router.invariants.Check(req.trail.Cause() != requestlog.Unfinished, invariantExplainedEnd, "attempt_id", req.inbound.Header.Get(upstream.HeaderAttemptID))
}

// checkQuiet checks, while no request is served, that nothing is held for one.
func (r *Router) checkQuiet() {
	before := r.counts.requests.Load()
	if r.inflight.Load() != 0 {
		return
	}
	bodyBytes := int64(0)
	for _, share := range r.bodies.UserShares() {
		bodyBytes += share.Used
	}
	responseBytes := r.responses.Used()
	placed, finished := r.placer.Inflight(), r.requests.Finished()
	if r.inflight.Load() != 0 || r.counts.requests.Load() != before {
		return // requests came meanwhile
	}
	r.invariants.Check(bodyBytes == 0 && responseBytes == 0 && placed == 0 && finished == before, invariantReleasedResources,
		"body_bytes", bodyBytes, "response_bytes", responseBytes, "placed", placed, "requests", before, "finished", finished)
}
