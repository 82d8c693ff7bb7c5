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
func (q *request) send() {
	if q.isLong() && q.haul() {
		return
	}
	for {
		left := time.Until(q.deadline)
		if left <= budgetReserve {
			q.giveUp(errkind.DeadlineExceeded, "time ran out")
			return
		}
		if !q.try.MayRetry(q.path.IsRetriable(), q.path.MaxAttempts) {
			q.giveUp(errkind.UpstreamFailure, "replicas failed")
			return
		}
		choice, ok := q.g.yard.Place(q.ask)
		if !ok {
			if !q.awaitPlace() {
				return
			}
			continue
		}
		if q.try.Sends() == 0 && !letIn(choice, left) {
			q.g.yard.Release(q.placed(choice))
			q.refuse(errkind.Overloaded)
			return
		}
		if !q.attempt(choice) {
			return
		}
	}
}

// placed is the end of a placement, for the books of package placement.
func (q *request) placed(c placement.Choice) *placement.Attempt {
	return &placement.Attempt{ReplicaID: c.Replica.ID, Chain: q.ask.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: q.ask.MaxOutputTokens}
}

// awaitPlace waits a little while no replica can be used; false if the request was answered.
func (q *request) awaitPlace() bool {
	if !q.try.MayHaveRun() && time.Until(q.refuseAt()) <= 0 {
		q.refuse(errkind.Overloaded)
		return false
	}
	clear(q.ask.Excluded)
	select {
	case <-time.After(placeAgain):
		return true
	case <-q.r.Context().Done():
		q.abandon()
		return false
	}
}

// letIn tells whether a request is worth sending: not if the line before it alone is predicted to
// outlast what is left of its time. The length of its own prompt never counts against it.
func letIn(c placement.Choice, left time.Duration) bool { return c.PredictedTTFT-c.UnloadedTTFT < left }

// refuseAt is when a request that could be sent nowhere is refused.
func (q *request) refuseAt() time.Time {
	return q.arrived.Add(time.Duration(float64(q.path.LatencyTarget) * refusePart))
}

// attempt sends to one replica; true means that another may be tried.
func (q *request) attempt(c placement.Choice) bool {
	end := q.placed(c)
	defer q.g.yard.Release(end)
	connection, again := q.connect(c)
	if connection == nil {
		return again
	}
	at := time.Now()
	if time.Until(q.deadline) <= budgetReserve {
		connection.Release()
		return true
	}
	q.try.BeginSend()
	answer, state, err := connection.Send(q.upstreamRequest(c, at))
	q.try.Advance(state)
	if err != nil {
		return q.sendFailed(c.Replica.ID, connection, state, err)
	}
	defer answer.Close()
	if q.ask.Chain != nil {
		q.g.index.RecordSent(c.Replica.ID, q.ask.CapacityTokens, q.ask.Chain, q.path.Name)
	}
	l := listener{q: q, connection: connection, answer: answer, choice: c, end: end, at: at}
	return l.listen()
}

// connect gets what an attempt needs: a connection, a retry's share of the budget, and at last, since
// there may have been waits, that the client is still there and the replica may still be sent to.
// Without a connection, again tells whether another replica may be tried.
func (q *request) connect(c placement.Choice) (connection *upstream.Connection, again bool) {
	id := c.Replica.ID
	left := time.Until(q.deadline)
	wait := min(left, max(placeAgain, time.Until(q.refuseAt())))
	connection, err := q.g.pool(c.Replica, q.table).Get(q.path.Name, wait, !q.path.IsRetriable(), q.r.Context().Done())
	if q.r.Context().Err() != nil {
		if connection != nil {
			connection.Release()
		}
		q.abandon()
		return nil, false
	}
	if err != nil {
		q.ask.Excluded[id] = true
		if errkind.KindOf(err) == errkind.UpstreamFailure {
			q.blame(id, outlier.ConnectionRefused)
		} else {
			q.g.long.short()
		}
		return nil, true
	}
	if q.try.Sends() > 0 {
		if !q.g.further(q.pool.Name, left) {
			connection.Release()
			q.giveUp(errkind.UpstreamFailure, "no further try is left")
			return nil, false
		}
		if q.r.Context().Err() != nil {
			connection.Release()
			q.abandon()
			return nil, false
		}
		q.g.count.further.Inc()
	}
	if !q.g.yard.Allowed(id) {
		connection.Release()
		return nil, true
	}
	return connection, false
}

// upstreamRequest is the request as it goes to one replica. What it says of time, and what was looked at
// before, is true for a little while only: it doesn't leave later than that.
func (q *request) upstreamRequest(c placement.Choice, now time.Time) *upstream.Request {
	left := q.deadline.Sub(now) - budgetReserve
	head := q.head.Clone()
	head.Set(upstream.HeaderExpectedReplica, c.Replica.ID)
	head.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if q.ask.Chain != nil {
		head.Set(upstream.HeaderUrgency, strconv.Itoa(q.urgency(c.UnloadedTTFT)))
	}
	if q.lastID >= 0 {
		head.Set(upstream.HeaderLastEventID, strconv.FormatInt(q.lastID, 10))
	}
	notAfter := now.Add(sendStale)
	if q.deadline.Before(notAfter) {
		notAfter = q.deadline
	}
	return &upstream.Request{
		Method:    q.r.Method,
		Target:    q.r.RequestURI,
		Host:      q.r.Host,
		Header:    head,
		Body:      q.body,
		AttemptID: q.id,
		Events:    q.path.Kind == routing.Streaming,
		NotAfter:  notAfter,
		Deadline:  q.deadline,
	}
}

// sendFailed deals with a request that was not sent whole; true means that another replica may be tried.
func (q *request) sendFailed(id string, c *upstream.Connection, state attempt.State, err error) bool {
	if !errors.Is(err, upstream.ErrTooLate) && !errors.Is(err, upstream.ErrSameAttempt) {
		q.ended(id, c, outlier.ConnectionReset, true)
	}
	if !state.MayHaveRun() {
		return true
	}
	return q.again("sending failed")
}

// urgency is the class that a replica is told: by the path's priority, behind all others if the prompt
// alone takes longer than the aim.
func (q *request) urgency(alone time.Duration) int {
	if q.long {
		return urgencyLong
	}
	if alone > q.path.LatencyTarget {
		return urgencyLate
	}
	part := float64(alone) / float64(max(q.path.LatencyTarget, 1))
	return min(urgencyLate-1, int(part*7))
}

// blame holds a failure against a replica; another one is tried next.
func (q *request) blame(id string, k outlier.FailureKind) {
	q.ask.Excluded[id] = true
	q.g.blame(id, k)
}

// ended notes that a connection failed. One that had been idle and is reset before any answer was most
// likely forgotten: that says little, and the same replica may be tried again on another; after silence
// the other idle connections are in doubt too.
func (q *request) ended(id string, c *upstream.Connection, k outlier.FailureKind, reset bool) {
	if reset && c.WasStale() {
		q.g.blame(id, outlier.StaleConnection)
		return
	}
	q.blame(id, k)
	if k == outlier.Timeout {
		c.MarkUncertain()
	}
}

// again tells whether another replica may be tried after one that did not answer as it should; if not,
// the client is answered. A stream that was begun is taken up only where the next event can be told from
// the last.
func (q *request) again(why string) bool {
	resumable := !q.began || q.lastID >= 0
	if resumable && q.try.MayRetry(q.path.IsRetriable(), q.path.MaxAttempts) {
		return true
	}
	q.giveUp(errkind.UpstreamFailure, why)
	return false
}

// patience is how long a replica may be silent before another one is tried; 0 if none may be.
func (q *request) patience() time.Duration {
	if !q.path.IsRetriable() || q.try.Sends() >= q.path.MaxAttempts {
		return 0
	}
	if q.began {
		return time.Duration(float64(q.path.EventGapTarget) * silenceGaps)
	}
	return time.Duration(float64(q.path.LatencyTarget) * silenceAims)
}

// listener takes the parts of one attempt's answer.
type listener struct {
	q          *request
	connection *upstream.Connection
	answer     *upstream.Response
	choice     placement.Choice
	end        *placement.Attempt
	at         time.Time // the attempt was sent
	heard      time.Time // the newest part
	head       upstream.Part
	joined     bool // the events follow those that the client has
}

// listen takes an answer's parts; true means that another replica may be tried.
func (l *listener) listen() bool {
	q, id := l.q, l.choice.Replica.ID
	l.joined = !q.began // the first event of a run that goes on must follow the last
	l.heard = l.at
	due, known := q.g.yard.Health().OverdueAfter(id, l.choice.PredictedTTFT, q.path.LatencyTarget)
	for {
		wait := time.Until(q.deadline)
		if p := q.patience(); p > 0 {
			wait = min(wait, p-time.Since(l.heard))
		}
		untilDue := due - time.Since(l.at)
		watch := known && !l.end.FirstTokenSeen && !l.end.OverdueReported && untilDue < wait
		if watch {
			wait = untilDue
		}
		late := time.NewTimer(max(0, wait))
		part, ok := l.answer.Next(late.C, q.r.Context().Done())
		late.Stop()
		if ok {
			l.heard = time.Now()
			if again, done := l.take(&part); done {
				return again
			}
			continue
		}
		if q.r.Context().Err() != nil {
			q.abandon()
			return false
		}
		if !watch {
			return l.silent()
		}
		l.end.OverdueReported = true // it is waited for still
		if !q.g.yard.IsQueued(id) {
			q.g.blame(id, outlier.Overdue)
		}
	}
}

// silent ends an attempt of which nothing was heard for too long.
func (l *listener) silent() bool {
	if time.Until(l.q.deadline) <= 0 {
		l.q.giveUp(errkind.DeadlineExceeded, "time ran out")
		return false
	}
	l.q.ended(l.choice.Replica.ID, l.connection, outlier.Timeout, false)
	return l.q.again("silence")
}

// take takes one part; done ends the attempt, and again tells whether another replica may be tried.
func (l *listener) take(part *upstream.Part) (again, done bool) {
	q, id := l.q, l.choice.Replica.ID
	switch part.Kind {
	case upstream.PartHead:
		q.told(id, part.Header.Get(upstream.HeaderLoad))
		l.head = *part
	case upstream.PartEvent:
		q.g.yard.FirstToken(l.end, time.Since(l.at), l.choice.PredictedTTFT)
		if !q.event(part, l.head.Header, &l.joined) {
			q.blame(id, outlier.InvalidAnswer)
			return q.again("events out of order"), true
		}
	case upstream.PartBody:
		l.head.Bytes = part.Bytes
	case upstream.PartEnd:
		q.try.Advance(part.State)
		if part.State == attempt.Answered && l.head.Status < http.StatusInternalServerError {
			q.g.yard.FirstToken(l.end, time.Since(l.at), l.choice.PredictedTTFT)
		}
		if part.State == attempt.NotExecuted {
			return q.turnedAway(&l.head, id), true
		}
		return q.whole(&l.head, id), true
	case upstream.PartFailure:
		l.failed(part)
		return q.again(part.Cause), true
	}
	return false, false
}

// failed holds a failed answer against its replica.
func (l *listener) failed(part *upstream.Part) {
	id := l.choice.Replica.ID
	switch {
	case part.Reset:
		l.q.ended(id, l.connection, outlier.ConnectionReset, true)
	case part.ConnectionLost:
		l.q.ended(id, l.connection, outlier.Timeout, false)
	default:
		l.q.blame(id, outlier.InvalidAnswer)
	}
}
