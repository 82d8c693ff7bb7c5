package placement

import (
	"time"

	"shaletrestle/coord/loadsum"
	"shaletrestle/internal/state"
)

const (
	// runningReportLifetime is the time over which a replica's report of what runs there fades to the service's mean.
	runningReportLifetime = 2 * time.Second
	// waitingReportLifetime is the time over which its report of its queue fades to nothing: queues are short-lived.
	waitingReportLifetime = 1 * time.Second
	// queuedReportLifetime is how long a report of a queue excuses overdue answers.
	queuedReportLifetime = 2 * time.Second
)

// waitingWeight is the number of running requests that a waiting one counts for in an occupancy: it shows that the slots
// were not enough.
const waitingWeight = 2

// replicaState is what this process knows of one replica. It is made when the replica is listed first and dropped
// with its entry; it is guarded by the Placer's lock.
type replicaState struct {
	listed *state.Replica // its newest entry in the list
	idHash uint64         // of its id, for rendezvous orders
	// evacuated says that its zone was under evacuation when the list was taken last.
	evacuated bool
	// misaddressed says that another replica answered at its address. It holds until the replica leaves the list, as
	// the address then names the other one.
	misaddressed bool

	sent     sentLoad
	reported reportedLoad
	fleet    fleetLoad
	speed    replicaSpeed
	warmup   warmup
}

// sentLoad is what this process has at a replica. It is exact at any time.
type sentLoad struct {
	requests             int
	pendingPrefillTokens float64 // of prompts whose first token has not come yet, without what is cached of them
	reservedTokens       float64 // of memory, for the prompts and the most that they may generate
}

// reportedLoad is the replica's own report, valid for the lifetimes above from its time on.
type reportedLoad struct {
	LoadReport
	at time.Time // zero: none came yet
}

// warmup paces requests to a replica that is warming up.
type warmup struct {
	next  time.Time // when the next request may be sent; heeded only while it is warming up
	until time.Time // it counts as warming up until then after an evacuation, for the list to say whether it is
}

func newReplicaState(id string, prefillPerToken float64) *replicaState {
	return &replicaState{
		idHash: hashID(id),
		fleet:  fleetLoad{key: loadsum.Key(id)},
		speed:  replicaSpeed{prefillPerToken: prefillPerToken},
	}
}

// isOpen reports whether a replica takes requests as far as the list says, whatever its health.
func (r *replicaState) isOpen() bool {
	return r.listed.State == state.ReplicaReady && !r.evacuated && !r.misaddressed
}

func (r *replicaState) isWarmingUp(now time.Time) bool {
	return r.listed.WarmupLeftMs > 0 || now.Before(r.warmup.until)
}

// isQueued reports whether a replica reported lately that requests wait there.
func (r *replicaState) isQueued(now time.Time) bool {
	return r.reported.Waiting > 0 && now.Sub(r.reported.at) < queuedReportLifetime
}

// addRequest counts a request as sent.
func (r *replicaState) addRequest(request *Request, matchedTokens int) {
	r.sent.requests++
	if request.Chain != nil {
		prompt := request.Chain.Tokens()
		r.sent.pendingPrefillTokens += float64(prompt - matchedTokens)
		r.sent.reservedTokens += float64(prompt + request.MaxOutputTokens)
	}
}

// markPrefilled takes the prompt of an attempt off what waits for prefill.
func (r *replicaState) markPrefilled(attempt *Attempt) {
	r.sent.pendingPrefillTokens = max(0, r.sent.pendingPrefillTokens-float64(attempt.Chain.Tokens()-attempt.MatchedTokens))
}

// removeAttempt takes off what addRequest counted.
func (r *replicaState) removeAttempt(attempt *Attempt) {
	r.sent.requests = max(0, r.sent.requests-1)
	if attempt.Chain == nil {
		return
	}
	if !attempt.FirstTokenSeen {
		r.markPrefilled(attempt)
	}
	r.sent.reservedTokens = max(0, r.sent.reservedTokens-float64(attempt.Chain.Tokens()+attempt.MaxOutputTokens))
	if r.sent.requests == 0 {
		r.sent.pendingPrefillTokens, r.sent.reservedTokens = 0, 0 // no rounding errors are kept
	}
}

// slots is how many requests a replica runs at once: by its own report, else by the list.
func (r *replicaState) slots() float64 {
	if r.reported.Slots > 0 {
		return r.reported.Slots
	}
	return float64(max(1, r.listed.Slots))
}

// runningCount is how many requests run at a replica: its own report, fading to the service's mean, and never less than this
// process has there.
func (r *replicaState) runningCount(meanOccupancy float64, now time.Time) float64 {
	running := meanOccupancy * r.slots()
	if age := now.Sub(r.reported.at); r.reported.Slots > 0 && age < runningReportLifetime {
		running += (r.reported.Running - running) * (1 - float64(age)/float64(runningReportLifetime))
	}
	return max(running, float64(r.sent.requests))
}

// queueLength is how many requests wait at a replica by its own report.
func (r *replicaState) queueLength(now time.Time) float64 {
	if age := now.Sub(r.reported.at); age < waitingReportLifetime {
		return r.reported.Waiting * (1 - float64(age)/float64(waitingReportLifetime))
	}
	return 0
}

// occupancy is the part of a replica's slots in use, for services without an engine; a report fades to nothing.
func (r *replicaState) occupancy(now time.Time) float64 {
	requests := float64(r.sent.requests)
	if r.reported.Slots <= 0 {
		return requests / float64(max(1, r.listed.Slots))
	}
	if age, lifetime := now.Sub(r.reported.at).Seconds(), runningReportLifetime.Seconds(); age < lifetime {
		requests = max(requests, (r.reported.Running+waitingWeight*r.reported.Waiting)*(1-age/lifetime))
	}
	return requests / r.reported.Slots
}

// queueDelay is the predicted time in seconds before the prefill of a new request begins; promptSeconds is what a
// prefill takes on average.
func (r *replicaState) queueDelay(now time.Time, promptSeconds float64) float64 {
	delay := (r.sent.pendingPrefillTokens + r.otherNodesTokens(now)) * r.speed.prefillPerToken
	delay = max(delay, r.speed.residualDelay(now))
	if age, lifetime := now.Sub(r.reported.at).Seconds(), waitingReportLifetime.Seconds(); age < lifetime {
		delay = max(delay, r.reported.Waiting*promptSeconds*(1-age/lifetime))
	}
	return delay
}
