package router

import (
	"errors"
	"strconv"
	"time"

	"shaletrestle/coord/attempt"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/upstream"
)

const (
	// checkLifetime is how long what was checked before a send is good for: a request whose first byte has not left by
	// then is checked anew.
	checkLifetime = 250 * time.Millisecond
	// eventSlack is how many events a stream may have beyond one for each token that its request allows: some hold none.
	eventSlack = 64
	// urgencyMissed is the Urgency-Class of prompts that miss the latency target in any case.
	urgencyMissed = 8
	// urgencyLong is the Urgency-Class of long work: the last one.
	urgencyLong = 9
)

// attempt sends the request to one replica and relays its response.
func (req *request) attempt(choice placement.Choice) outcome {
	placed := req.placed(choice)
	defer req.router.placer.Release(placed)
	req.trail.Begin(choice.Replica.ID)
	connection, out := req.connect(choice)
	if connection == nil {
		return out
	}
	req.trail.Connected()
	sentAt := time.Now()
	if time.Until(req.deadline) <= responseReserve {
		connection.Release()
		req.endAttempt("no time is left")
		return outcomeRetry // the loop says that the time ran out
	}
	req.checkBeforeSend(choice.Replica.ID)
	req.history.BeginSend()
	response, state, err := connection.Send(req.upstreamRequest(choice, sentAt))
	req.history.Advance(state)
	req.ledger.add(state != attempt.NotSent)
	if err != nil {
		return req.handleSendError(choice.Replica.ID, connection, state, err)
	}
	defer response.Close()
	if req.wanted.Chain != nil {
		req.router.prefixes.RecordSent(choice.Replica.ID, req.wanted.CapacityTokens, req.wanted.Chain, req.route.Name)
	}
	r := receiver{
		request:    req,
		connection: connection,
		response:   response,
		choice:     choice,
		placed:     placed,
		sentAt:     sentAt,
	}
	return r.receive()
}

// connect gets what an attempt needs: a connection and, if it is not the first, a retry of the budget. Both may wait, so it
// then checks again that the client is there and the replica may be sent to. The outcome matters only if the connection
// is nil.
func (req *request) connect(choice placement.Choice) (*upstream.Connection, outcome) {
	id := choice.Replica.ID
	ctx := req.inbound.Context()
	left := time.Until(req.deadline)
	connection, err := req.router.connections(choice.Replica, req.table).Get(ctx, upstream.GetOptions{
		Owner:        req.route.Name,
		Timeout:      min(left, max(placeRetryInterval, time.Until(req.rejectAfter()))),
		Unrepeatable: !req.route.IsRetriable(),
	})
	if ctx.Err() != nil {
		if connection != nil {
			connection.Release()
		}
		req.abort()
		return nil, outcomeAnswered
	}
	if err != nil {
		req.endAttempt(err.Error())
		req.wanted.Excluded[id] = true
		if errors.Is(err, upstream.ErrDial) {
			req.recordFault(id, outlier.ConnectionRefused)
		} else {
			req.router.longWork.RecordShortage()
		}
		return nil, outcomeRetry
	}
	if req.history.Sends() > 0 {
		if !req.router.budget.Take(req.service.Name, left) {
			connection.Release()
			req.endAttempt("no retry is left in the budget")
			req.fail(errkind.UpstreamFailure, "no further try is left")
			return nil, outcomeAnswered
		}
		if ctx.Err() != nil {
			connection.Release()
			req.abort()
			return nil, outcomeAnswered
		}
		req.router.counts.retries.Inc()
	}
	if !req.router.placer.Allowed(id) {
		connection.Release()
		req.endAttempt("the replica may no longer be sent to")
		return nil, outcomeRetry
	}
	return connection, outcomePending
}

// upstreamRequest is the request as it goes to one replica. Its time budget and the checks made
// before are valid only for checkLifetime: it is not sent later than that.
func (req *request) upstreamRequest(choice placement.Choice, now time.Time) *upstream.Request {
	left := req.deadline.Sub(now) - responseReserve
	header := req.header.Clone()
	header.Set(upstream.HeaderExpectedReplica, choice.Replica.ID)
	header.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if req.wanted.Chain != nil {
		header.Set(upstream.HeaderUrgency, strconv.Itoa(req.urgency(choice.UnloadedTTFT)))
	}
	if req.lastEventID >= 0 {
		header.Set(upstream.HeaderLastEventID, strconv.FormatInt(req.lastEventID, 10))
	}
	notAfter := now.Add(checkLifetime)
	if req.deadline.Before(notAfter) {
		notAfter = req.deadline
	}
	maxEvents := 0
	if req.wanted.MaxOutputTokens > 0 {
		maxEvents = req.wanted.MaxOutputTokens + eventSlack
	}
	return &upstream.Request{
		Method:    req.inbound.Method,
		Target:    req.inbound.RequestURI,
		Host:      req.inbound.Host,
		Header:    header,
		Body:      req.body,
		AttemptID: req.id,
		Events:    req.route.Kind == routing.Streaming,
		NotAfter:  notAfter,
		Deadline:  req.deadline,
		MaxEvents: maxEvents,
	}
}

// urgency is the Urgency-Class sent to a replica: by the time to first token of an unloaded replica, as a fraction of the
// latency target, one of the classes below urgencyMissed; else urgencyMissed or urgencyLong.
func (req *request) urgency(unloaded time.Duration) int {
	if req.work != nil {
		return urgencyLong
	}
	if unloaded > req.route.LatencyTarget {
		return urgencyMissed
	}
	part := float64(unloaded) / float64(max(req.route.LatencyTarget, 1))
	return min(urgencyMissed-1, int(part*(urgencyMissed-1)))
}

// handleSendError handles a request that was not sent completely.
func (req *request) handleSendError(id string, connection *upstream.Connection, state attempt.State, err error) outcome {
	req.endAttempt(err.Error())
	if !errors.Is(err, upstream.ErrTooLate) && !errors.Is(err, upstream.ErrSameAttempt) {
		req.handleLoss(id, connection, outlier.ConnectionReset, true)
	}
	if !state.MayHaveRun() {
		return outcomeRetry
	}
	return req.retry("sending failed")
}

// endAttempt records how the present attempt ended.
func (req *request) endAttempt(how string) { req.trail.End(req.history.Current(), how) }

// recordFault records a fault of a replica and excludes it from this request's next choice.
func (req *request) recordFault(id string, kind outlier.FailureKind) {
	req.wanted.Excluded[id] = true
	req.router.recordFault(id, kind)
}

// handleLoss records that a connection failed. One that had been idle and is reset before any response was most likely
// dropped by the replica before: that says little, and the same replica may be tried again on another connection. After
// silence the other idle connections are uncertain too.
func (req *request) handleLoss(id string, connection *upstream.Connection, kind outlier.FailureKind, reset bool) {
	if reset && connection.WasStale() {
		req.router.recordFault(id, outlier.StaleConnection)
		return
	}
	req.recordFault(id, kind)
	if kind == outlier.Timeout {
		connection.MarkUncertain()
	}
}

// retry ends an attempt that gave no usable response: another replica may be tried, or else the client is answered. A
// stream that was begun is resumed only if its events have ids: without them the next event can't be recognized.
func (req *request) retry(cause string) outcome {
	req.endAttempt(cause)
	resumable := !req.started || req.lastEventID >= 0 && !req.passing
	if resumable && req.mayRetry() {
		return outcomeRetry
	}
	req.fail(errkind.UpstreamFailure, cause)
	return outcomeAnswered
}
