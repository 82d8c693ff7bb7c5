package router

import (
	"net/http"
	"time"

	"shaletrestle/coord/attempt"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/upstream"
)

const (
	// silenceGaps is how many targets of the gap between events a stream may be silent before it is resumed elsewhere.
	silenceGaps = 2.5
	// silenceTargets is how many latency targets a replica may take to its first event before another one is tried.
	silenceTargets = 3.0
)

// receiver takes the parts of one attempt's response.
type receiver struct {
	request    *request
	connection *upstream.Connection
	response   *upstream.Response
	choice     placement.Choice
	placed     *placement.Attempt
	sentAt     time.Time
	lastPartAt time.Time
	head       upstream.Part // with the body, once that came whole
	joined     bool          // the events follow on those that the client has
}

// receive takes the parts until the attempt ends.
func (r *receiver) receive() outcome {
	req, id := r.request, r.choice.Replica.ID
	ctx := req.inbound.Context()
	r.joined = !req.started // the first event of a resumed run must follow the last one
	r.lastPartAt = r.sentAt
	due, known := req.router.placer.Health().OverdueAfter(id, r.choice.PredictedTTFT, req.route.LatencyTarget)
	for {
		wait := time.Until(req.deadline)
		if limit := req.silenceLimit(); limit > 0 {
			wait = min(wait, limit-time.Since(r.lastPartAt))
		}
		untilDue := due - time.Since(r.sentAt)
		watch := known && !r.placed.FirstTokenSeen && !r.placed.OverdueReported && untilDue < wait
		if watch {
			wait = untilDue
		}
		late := time.NewTimer(max(0, wait))
		part, ok := r.response.Next(ctx, late.C)
		late.Stop()
		if ok {
			r.lastPartAt = time.Now()
			if out := r.handlePart(&part); out != outcomePending {
				return out
			}
			continue
		}
		if ctx.Err() != nil {
			req.abort()
			return outcomeAnswered
		}
		if !watch {
			return r.handleSilence()
		}
		r.placed.OverdueReported = true // the response is still awaited
		if !req.router.placer.IsQueued(id) {
			req.router.recordFault(id, outlier.Overdue)
		}
	}
}

// silenceLimit is how long a replica may be silent before another one is tried; 0 if none may be.
func (req *request) silenceLimit() time.Duration {
	if req.passing || !req.route.IsRetriable() || req.history.Sends() >= req.route.MaxAttempts {
		return 0
	}
	if req.started {
		return time.Duration(float64(req.route.EventGapTarget) * silenceGaps)
	}
	return time.Duration(float64(req.route.LatencyTarget) * silenceTargets)
}

// handleSilence ends an attempt that was silent for too long.
func (r *receiver) handleSilence() outcome {
	if time.Until(r.request.deadline) <= 0 {
		r.recordIncomplete()
		r.request.fail(errkind.DeadlineExceeded, "time ran out")
		return outcomeAnswered
	}
	r.request.handleLoss(r.choice.Replica.ID, r.connection, outlier.Timeout, false)
	return r.request.retry("silence")
}

// recordIncomplete records a response that has begun and, at the request's deadline, is neither complete nor a stream with events.
func (r *receiver) recordIncomplete() {
	begun := r.head.Status != 0
	if begun && !r.placed.FirstTokenSeen && !r.placed.OverdueReported {
		r.placed.OverdueReported = true
		r.request.router.recordFault(r.choice.Replica.ID, outlier.Overdue)
	}
}

// handlePart takes one part; outcomePending if more are to come.
func (r *receiver) handlePart(part *upstream.Part) outcome {
	req, id := r.request, r.choice.Replica.ID
	switch part.Kind {
	case upstream.PartHead:
		req.trail.Answered(part.Status)
		req.recordLoad(id, part.Header.Get(upstream.HeaderLoad))
		r.head = *part
	case upstream.PartEvent:
		req.router.placer.FirstToken(r.placed, time.Since(r.sentAt), r.choice.PredictedTTFT)
		if !req.relayEvent(part, r.head.Header, &r.joined) {
			req.recordFault(id, outlier.InvalidAnswer)
			return req.retry("events out of order")
		}
	case upstream.PartBlock:
		return r.handleBlock(part.Bytes)
	case upstream.PartBody:
		r.head.Bytes = part.Bytes
	case upstream.PartEnd:
		req.history.Advance(part.State)
		req.ledger.takeBack(&r.head)
		req.endAttempt(part.State.String())
		if part.State == attempt.Answered && r.head.Status < http.StatusInternalServerError {
			req.router.placer.FirstToken(r.placed, time.Since(r.sentAt), r.choice.PredictedTTFT)
		}
		if req.passing {
			req.trail.Finish(relayedCause(r.head.Status), "")
			return outcomeAnswered
		}
		if part.State == attempt.NotExecuted {
			return req.handleRejection(&r.head, id)
		}
		return req.complete(&r.head, id)
	case upstream.PartFailure:
		r.recordFailure(part)
		return req.retry(part.Cause)
	}
	return outcomePending
}

// recordFailure records a failed response as a fault of its replica.
func (r *receiver) recordFailure(part *upstream.Part) {
	id := r.choice.Replica.ID
	switch {
	case part.Reason == upstream.ReasonNoMemory:
		r.request.wanted.Excluded[id] = true // its connection is closed, but the shortage is not the replica's
	case part.Reason.IsLimit():
		r.request.recordFault(id, outlier.Unbounded)
		r.request.router.logLimit(id, part.Reason)
	case part.Reset:
		r.request.handleLoss(id, r.connection, outlier.ConnectionReset, true)
	case part.ConnectionLost:
		r.request.handleLoss(id, r.connection, outlier.Timeout, false)
	default:
		r.request.recordFault(id, outlier.InvalidAnswer)
	}
}
