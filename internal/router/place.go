package router

import (
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
)

// placeRetryInterval is the pause while no replica can be used.
const placeRetryInterval = 25 * time.Millisecond

// send sends the request to replicas, one after the other, until it is answered or no other one may be tried.
func (req *request) send() {
	next := outcomeRetry
	if req.isLongWork() {
		next = req.admitLongWork()
	}
	for next == outcomeRetry {
		next = req.tryOnce()
	}
}

// tryOnce chooses a replica and sends the request to it, or waits for placeRetryInterval if there is none.
func (req *request) tryOnce() outcome {
	left := time.Until(req.deadline)
	if left <= responseReserve {
		req.fail(errkind.DeadlineExceeded, "time ran out")
		return outcomeAnswered
	}
	if !req.mayRetry() {
		req.fail(errkind.UpstreamFailure, "replicas failed")
		return outcomeAnswered
	}
	choice, ok := req.router.placer.Place(req.wanted)
	if !ok {
		return req.awaitReplica()
	}
	if req.history.Sends() == 0 && !admits(choice, left) {
		req.router.placer.Release(req.placed(choice))
		req.reject(errkind.Overloaded, "the queue is predicted to outlast the deadline")
		return outcomeAnswered
	}
	if req.history.Sends() == 0 && !req.endsBeforeShutdown(choice) {
		req.router.placer.Release(req.placed(choice))
		req.reject(errkind.Overloaded, "shutting down before it would end")
		return outcomeAnswered
	}
	return req.attempt(choice)
}

// mayRetry reports whether the request may be sent to a replica, for the first time or once more.
func (req *request) mayRetry() bool {
	return req.history.MayRetry(req.route.IsRetriable(), req.route.MaxAttempts)
}

// placed is what package placement has to know of a choice until it is released.
func (req *request) placed(choice placement.Choice) *placement.Attempt {
	return &placement.Attempt{
		ReplicaID:       choice.Replica.ID,
		Chain:           req.wanted.Chain,
		MatchedTokens:   choice.MatchedTokens,
		MaxOutputTokens: req.wanted.MaxOutputTokens,
	}
}

// awaitReplica waits for placeRetryInterval when no replica can be used, or rejects the request once rejectAfter has passed
// and no replica can have run it. All replicas are candidates again afterwards.
func (req *request) awaitReplica() outcome {
	if !req.history.MayHaveRun() && time.Until(req.rejectAfter()) <= 0 {
		req.reject(errkind.Overloaded, "no replica could be used")
		return outcomeAnswered
	}
	clear(req.wanted.Excluded)
	req.trail.Waited(placeRetryInterval)
	select {
	case <-time.After(placeRetryInterval):
		return outcomeRetry
	case <-req.inbound.Context().Done():
		req.abort()
		return outcomeAnswered
	}
}

// admits reports whether a request is worth sending: not if the queue before it alone is predicted to outlast the time that
// is left. The length of its own prompt never counts against it.
func admits(choice placement.Choice, left time.Duration) bool {
	return choice.PredictedTTFT-choice.UnloadedTTFT < left
}
