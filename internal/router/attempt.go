package router

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"shaletrestle/coord/attempt"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/upstream"
)

// send sends the request to replicas until one has answered or nothing more may be tried.
func (req *request) send() {
	if req.isLong() && req.haul() {
		return
	}
	for {
		left := time.Until(req.deadline)
		if left <= budgetReserve {
			req.fail(errkind.DeadlineExceeded, "time ran out")
			return
		}
		if !req.history.MayRetry(req.route.IsRetriable(), req.route.MaxAttempts) {
			req.fail(errkind.UpstreamFailure, "replicas failed")
			return
		}
		choice, ok := req.router.placer.Place(req.wanted)
		if !ok {
			if !req.awaitReplica() {
				return
			}
			continue
		}
		if req.history.Sends() == 0 && !admits(choice, left) {
			req.router.placer.Release(req.placement(choice))
			req.reject(errkind.Overloaded)
			return
		}
		if !req.attempt(choice) {
			return
		}
	}
}

// placement is the end of a placement, for the books of package placement.
func (req *request) placement(c placement.Choice) *placement.Attempt {
	return &placement.Attempt{ReplicaID: c.Replica.ID, Chain: req.wanted.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: req.wanted.MaxOutputTokens}
}

// awaitReplica waits a little while no replica can be used; false if the request was answered.
func (req *request) awaitReplica() bool {
	if !req.history.MayHaveRun() && time.Until(req.rejectAfter()) <= 0 {
		req.reject(errkind.Overloaded)
		return false
	}
	clear(req.wanted.Excluded)
	select {
	case <-time.After(placeRetryInterval):
		return true
	case <-req.inbound.Context().Done():
		req.abort()
		return false
	}
}

// admits tells whether a request is worth sending: not if the line before it alone is predicted to
// outlast what is left of its time. The length of its own prompt never counts against it.
func admits(c placement.Choice, left time.Duration) bool {
	return c.PredictedTTFT-c.UnloadedTTFT < left
}

// rejectAfter is when a request that could be sent nowhere is refused.
func (req *request) rejectAfter() time.Time {
	return req.arrived.Add(time.Duration(float64(req.route.LatencyTarget) * rejectFraction))
}

// attempt sends to one replica; true means that another may be tried.
func (req *request) attempt(c placement.Choice) bool {
	end := req.placement(c)
	defer req.router.placer.Release(end)
	connection, again := req.connect(c)
	if connection == nil {
		return again
	}
	at := time.Now()
	if time.Until(req.deadline) <= budgetReserve {
		connection.Release()
		return true
	}
	req.history.BeginSend()
	answer, state, err := connection.Send(req.upstreamRequest(c, at))
	req.history.Advance(state)
	if err != nil {
		return req.handleSendError(c.Replica.ID, connection, state, err)
	}
	defer answer.Close()
	if req.wanted.Chain != nil {
		req.router.prefixes.RecordSent(c.Replica.ID, req.wanted.CapacityTokens, req.wanted.Chain, req.route.Name)
	}
	l := receiver{request: req, connection: connection, answer: answer, choice: c, placement: end, sentAt: at}
	return l.receive()
}

// connect gets what an attempt needs: a connection, a retry's share of the budget, and at last, since
// there may have been waits, that the client is still there and the replica may still be sent to.
// Without a connection, again tells whether another replica may be tried.
func (req *request) connect(c placement.Choice) (connection *upstream.Connection, again bool) {
	id := c.Replica.ID
	left := time.Until(req.deadline)
	wait := min(left, max(placeRetryInterval, time.Until(req.rejectAfter())))
	connection, err := req.router.connections(c.Replica, req.table).Get(req.route.Name, wait, !req.route.IsRetriable(), req.inbound.Context().Done())
	if req.inbound.Context().Err() != nil {
		if connection != nil {
			connection.Release()
		}
		req.abort()
		return nil, false
	}
	if err != nil {
		req.wanted.Excluded[id] = true
		if errkind.KindOf(err) == errkind.UpstreamFailure {
			req.recordFault(id, outlier.ConnectionRefused)
		} else {
			req.router.longWork.recordShortage()
		}
		return nil, true
	}
	if req.history.Sends() > 0 {
		if !req.router.budget.Take(req.service.Name, left) {
			connection.Release()
			req.fail(errkind.UpstreamFailure, "no further try is left")
			return nil, false
		}
		if req.inbound.Context().Err() != nil {
			connection.Release()
			req.abort()
			return nil, false
		}
		req.router.counts.retries.Inc()
	}
	if !req.router.placer.Allowed(id) {
		connection.Release()
		return nil, true
	}
	return connection, false
}

// upstreamRequest is the request as it goes to one replica. What it says of time, and what was looked at
// before, is true for a little while only: it doesn't leave later than that.
func (req *request) upstreamRequest(c placement.Choice, now time.Time) *upstream.Request {
	left := req.deadline.Sub(now) - budgetReserve
	head := req.header.Clone()
	head.Set(upstream.HeaderExpectedReplica, c.Replica.ID)
	head.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if req.wanted.Chain != nil {
		head.Set(upstream.HeaderUrgency, strconv.Itoa(req.urgency(c.UnloadedTTFT)))
	}
	if req.lastEventID >= 0 {
		head.Set(upstream.HeaderLastEventID, strconv.FormatInt(req.lastEventID, 10))
	}
	notAfter := now.Add(checkLifetime)
	if req.deadline.Before(notAfter) {
		notAfter = req.deadline
	}
	return &upstream.Request{
		Method:    req.inbound.Method,
		Target:    req.inbound.RequestURI,
		Host:      req.inbound.Host,
		Header:    head,
		Body:      req.body,
		AttemptID: req.id,
		Events:    req.route.Kind == routing.Streaming,
		NotAfter:  notAfter,
		Deadline:  req.deadline,
	}
}

// handleSendError deals with a request that was not sent whole; true means that another replica may be tried.
func (req *request) handleSendError(id string, c *upstream.Connection, state attempt.State, err error) bool {
	if !errors.Is(err, upstream.ErrTooLate) && !errors.Is(err, upstream.ErrSameAttempt) {
		req.handleLoss(id, c, outlier.ConnectionReset, true)
	}
	if !state.MayHaveRun() {
		return true
	}
	return req.retry("sending failed")
}

// urgency is the class that a replica is told: by the path's priority, behind all others if the prompt
// alone takes longer than the aim.
func (req *request) urgency(alone time.Duration) int {
	if req.isLongWork {
		return urgencyLong
	}
	if alone > req.route.LatencyTarget {
		return urgencyMissed
	}
	part := float64(alone) / float64(max(req.route.LatencyTarget, 1))
	return min(urgencyMissed-1, int(part*7))
}

// recordFault holds a failure against a replica; another one is tried next.
func (req *request) recordFault(id string, k outlier.FailureKind) {
	req.wanted.Excluded[id] = true
	req.router.recordFault(id, k)
}

// handleLoss notes that a connection failed. One that had been idle and is reset before any answer was most
// likely forgotten: that says little, and the same replica may be tried again on another; after silence
// the other idle connections are in doubt too.
func (req *request) handleLoss(id string, c *upstream.Connection, k outlier.FailureKind, reset bool) {
	if reset && c.WasStale() {
		req.router.recordFault(id, outlier.StaleConnection)
		return
	}
	req.recordFault(id, k)
	if k == outlier.Timeout {
		c.MarkUncertain()
	}
}

// retry tells whether another replica may be tried after one that did not answer as it should; if not,
// the client is answered. A stream that was begun is taken up only where the next event can be told from
// the last.
func (req *request) retry(why string) bool {
	resumable := !req.started || req.lastEventID >= 0
	if resumable && req.history.MayRetry(req.route.IsRetriable(), req.route.MaxAttempts) {
		return true
	}
	req.fail(errkind.UpstreamFailure, why)
	return false
}

// silenceLimit is how long a replica may be silent before another one is tried; 0 if none may be.
func (req *request) silenceLimit() time.Duration {
	if !req.route.IsRetriable() || req.history.Sends() >= req.route.MaxAttempts {
		return 0
	}
	if req.started {
		return time.Duration(float64(req.route.EventGapTarget) * silenceGaps)
	}
	return time.Duration(float64(req.route.LatencyTarget) * silenceAims)
}

// receiver takes the parts of one attempt's answer.
type receiver struct {
	request    *request
	connection *upstream.Connection
	answer     *upstream.Response
	choice     placement.Choice
	placement  *placement.Attempt
	sentAt     time.Time // the attempt was sent
	lastPartAt time.Time // the newest part
	head       upstream.Part
	joined     bool // the events follow those that the client has
}

// receive takes an answer's parts; true means that another replica may be tried.
func (l *receiver) receive() bool {
	q, id := l.request, l.choice.Replica.ID
	l.joined = !q.started // the first event of a run that goes on must follow the last
	l.lastPartAt = l.sentAt
	due, known := q.router.placer.Health().OverdueAfter(id, l.choice.PredictedTTFT, q.route.LatencyTarget)
	for {
		wait := time.Until(q.deadline)
		if p := q.silenceLimit(); p > 0 {
			wait = min(wait, p-time.Since(l.lastPartAt))
		}
		untilDue := due - time.Since(l.sentAt)
		watch := known && !l.placement.FirstTokenSeen && !l.placement.OverdueReported && untilDue < wait
		if watch {
			wait = untilDue
		}
		late := time.NewTimer(max(0, wait))
		part, ok := l.answer.Next(late.C, q.inbound.Context().Done())
		late.Stop()
		if ok {
			l.lastPartAt = time.Now()
			if again, done := l.handlePart(&part); done {
				return again
			}
			continue
		}
		if q.inbound.Context().Err() != nil {
			q.abort()
			return false
		}
		if !watch {
			return l.handleSilence()
		}
		l.placement.OverdueReported = true // it is waited for still
		if !q.router.placer.IsQueued(id) {
			q.router.recordFault(id, outlier.Overdue)
		}
	}
}

// handleSilence ends an attempt of which nothing was heard for too long.
func (l *receiver) handleSilence() bool {
	if time.Until(l.request.deadline) <= 0 {
		l.request.fail(errkind.DeadlineExceeded, "time ran out")
		return false
	}
	l.request.handleLoss(l.choice.Replica.ID, l.connection, outlier.Timeout, false)
	return l.request.retry("silence")
}

// handlePart takes one part; done ends the attempt, and again tells whether another replica may be tried.
func (l *receiver) handlePart(part *upstream.Part) (again, done bool) {
	q, id := l.request, l.choice.Replica.ID
	switch part.Kind {
	case upstream.PartHead:
		q.recordLoad(id, part.Header.Get(upstream.HeaderLoad))
		l.head = *part
	case upstream.PartEvent:
		q.router.placer.FirstToken(l.placement, time.Since(l.sentAt), l.choice.PredictedTTFT)
		if !q.relayEvent(part, l.head.Header, &l.joined) {
			q.recordFault(id, outlier.InvalidAnswer)
			return q.retry("events out of order"), true
		}
	case upstream.PartBody:
		l.head.Bytes = part.Bytes
	case upstream.PartEnd:
		q.history.Advance(part.State)
		if part.State == attempt.Answered && l.head.Status < http.StatusInternalServerError {
			q.router.placer.FirstToken(l.placement, time.Since(l.sentAt), l.choice.PredictedTTFT)
		}
		if part.State == attempt.NotExecuted {
			return q.handleRejection(&l.head, id), true
		}
		return q.complete(&l.head, id), true
	case upstream.PartFailure:
		l.recordFailure(part)
		return q.retry(part.Cause), true
	}
	return false, false
}

// recordFailure holds a failed answer against its replica.
func (l *receiver) recordFailure(part *upstream.Part) {
	id := l.choice.Replica.ID
	switch {
	case part.Reset:
		l.request.handleLoss(id, l.connection, outlier.ConnectionReset, true)
	case part.ConnectionLost:
		l.request.handleLoss(id, l.connection, outlier.Timeout, false)
	default:
		l.request.recordFault(id, outlier.InvalidAnswer)
	}
}
