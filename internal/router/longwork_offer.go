package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/internal/placement"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/upstream"
)

// isLong tells whether a request is long work, and keeps the result.
func (q *request) isLong() bool {
	engine := q.pool.Engine
	if !q.g.long.enabled() || engine == nil {
		return false
	}
	settings := q.g.env.Load().LongWork
	in, out := tokenCounts(q.r.Header.Get("Token-Counts"))
	marks := handoff.Thresholds{Patient: settings.PatientTargets, Heavy: settings.HeavyTargets}
	q.long = marks.IsLong(handoff.Demand{
		Stream:       q.path.Kind == routing.Streaming,
		Aim:          q.path.LatencyTarget,
		Timeout:      q.path.Timeout,
		Gap:          q.path.EventGapTarget,
		Stride:       engine.Stride,
		PromptTokens: in,
		OutputTokens: out,
		PerToken:     placement.InitialPrefillPerToken,
	})
	return q.long
}

// haul places long work: with a neighbour if this node is overloaded, else among
// what runs here. If it gives true, the request is answered.
func (q *request) haul() bool {
	work := q.g.long
	work.mu.Lock()
	work.open[q] = struct{}{}
	work.mu.Unlock()
	if q.mayBeOffered() {
		node := work.reserveNeighbour(q.path)
		if node != "" && q.offer(node) {
			return true
		}
	}
	return !q.enter()
}

func (q *request) mayBeOffered() bool {
	if q.taken || time.Until(q.refuseAt()) < longAnswer {
		return false
	}
	return q.g.env.Load().LongWork.Always || q.g.long.overloaded()
}

// pack writes the request as its taker is to send it; nil if that is not possible.
func (q *request) pack() []byte {
	left := time.Until(q.deadline) - budgetReserve
	header := q.head.Clone()
	header.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if q.lastID >= 0 {
		header.Set(upstream.HeaderLastEventID, strconv.FormatInt(q.lastID, 10))
	}
	outgoing := &http.Request{
		Method:        q.r.Method,
		URL:           upstream.RequestURL(q.r.RequestURI),
		Host:          q.r.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(q.body)),
		Body:          http.NoBody,
	}
	if len(q.body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	var packed bytes.Buffer
	if outgoing.Write(&packed) != nil {
		return nil
	}
	return packed.Bytes()
}

// offer lets a neighbour run the request; false if it was returned and may be run
// here.
func (q *request) offer(node string) (answered bool) {
	body := q.pack()
	if body == nil {
		return false
	}
	offered := q.newOfferedJob(node, body)
	defer offered.close()
	for {
		select {
		case effect := <-offered.inbox:
			switch offered.handle(effect) {
			case jobAnswered:
				return true
			case jobReturned:
				return false
			}
		case <-q.r.Context().Done():
			q.abandon()
		}
	}
}

// jobState is how far a job at a neighbour is.
type jobState int

const (
	jobOpen     jobState = iota
	jobAnswered          // the client has its answer
	jobReturned          // the request may be run here
)

// offeredJob is a request that a neighbour may run.
type offeredJob struct {
	work    *longWork
	request *request
	node    string
	number  uint64
	inbox   chan handoff.Effect
	head    *takenHead // nil until it came
	body    []byte     // of an answer that is no stream
	joined  bool       // the neighbour's events follow on those that the client has
}

// newOfferedJob offers the request to a neighbour.
func (q *request) newOfferedJob(node string, body []byte) *offeredJob {
	work := q.g.long
	job := &offeredJob{
		work:    work,
		request: q,
		node:    node,
		inbox:   make(chan handoff.Effect, longInbox),
		joined:  !q.began,
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	deadline := work.now() + time.Until(q.deadline) - budgetReserve
	job.number = work.owner.Take(deadline, q.path.IsRetriable(), q.path.MaxAttempts)
	work.inboxes[job.number] = job.inbox
	work.counters.offered++
	work.apply(work.owner.Offer(work.now(), job.number, node, body))
	work.wake()
	return job
}

// close ends the job if anything of it is left.
func (j *offeredJob) close() {
	j.work.mu.Lock()
	defer j.work.mu.Unlock()
	j.work.apply(j.work.owner.Abandon(j.number))
	delete(j.work.inboxes, j.number)
}

func (j *offeredJob) handle(effect handoff.Effect) jobState {
	switch effect.Action {
	case handoff.Deliver:
		return j.delivered(effect.Message.Body)
	case handoff.Requeue:
		if j.takeBack() {
			return jobReturned
		}
	case handoff.End:
		return j.ended(effect)
	}
	return jobOpen
}

// delivered takes the head of the answer, then its events or the pieces of its body.
func (j *offeredJob) delivered(piece []byte) jobState {
	q := j.request
	switch {
	case j.head == nil:
		j.head = &takenHead{}
		if json.Unmarshal(piece, j.head) != nil {
			return j.broken("head can't be read")
		}
	case j.head.Events:
		event := &upstream.Part{Kind: upstream.PartEvent, Bytes: piece, ID: eventID(piece)}
		if !q.event(event, j.head.Header, &j.joined) {
			return j.broken("events out of order")
		}
	default:
		j.body = append(j.body, piece...)
	}
	return jobOpen
}

// broken gives the request up: its answer can't be used, and it has run.
func (j *offeredJob) broken(why string) jobState {
	j.request.try.AddRemote(0, true)
	j.request.giveUp(errkind.UpstreamFailure, why)
	return jobAnswered
}

// takeBack takes back a job that the neighbour does not run any more. If it may not
// be run here either it gives false: the job's end follows, with what is known of it.
func (j *offeredJob) takeBack() bool {
	work, q := j.work, j.request
	work.mu.Lock()
	defer work.mu.Unlock()
	lost, attemptsLeft, ok := work.owner.Reclaim(work.now(), j.number)
	if !ok {
		work.apply(work.owner.GiveUp(j.number))
		return false
	}
	if lost {
		work.counters.lost++
		work.log.Warn("a neighbour was lost, its job is placed anew", "node", j.node, "request", q.id)
	}
	q.try.AddRemote(q.path.MaxAttempts-attemptsLeft-q.try.Sends(), lost)
	return true
}

// ended takes the outcome of a job that does not come back.
func (j *offeredJob) ended(effect handoff.Effect) jobState {
	q := j.request
	q.try.AddRemote(effect.Message.Attempts, effect.Outcome != handoff.Rejected)
	switch effect.Outcome {
	case handoff.Complete:
		return j.completed()
	case handoff.Rejected:
		q.giveUp(errkind.Overloaded, "no time for long work")
	case handoff.DeadlineExceeded:
		q.giveUp(errkind.DeadlineExceeded, "time ran out")
	default:
		j.countBroken()
		j.work.log.Warn("a neighbour was lost with a job that may have begun", "node", j.node, "request", q.id)
		q.giveUp(errkind.UpstreamFailure, "the neighbour was lost")
	}
	return jobAnswered
}

// completed takes the end of an answer that came whole.
func (j *offeredJob) completed() jobState {
	q := j.request
	j.countElsewhere()
	if j.head == nil || j.head.Events != q.began {
		q.giveUp(errkind.UpstreamFailure, "no whole answer")
		return jobAnswered
	}
	if j.head.Events {
		return jobAnswered
	}
	answer := &upstream.Part{Status: j.head.Status, Header: j.head.Header, Bytes: j.body}
	if q.whole(answer, "") {
		return jobReturned
	}
	return jobAnswered
}

// countElsewhere counts a job that a neighbour ran. The neighbour's place is free
// again, which is known here sooner than by its next answer to a ping.
func (j *offeredJob) countElsewhere() {
	j.work.mu.Lock()
	defer j.work.mu.Unlock()
	j.work.counters.elsewhere++
	j.work.addRoom(j.node, 1)
}

func (j *offeredJob) countBroken() {
	j.work.mu.Lock()
	defer j.work.mu.Unlock()
	j.work.counters.broken++
}

// eventID reads the id of an event; -1 if it has none.
func eventID(event []byte) int64 {
	for _, line := range strings.Split(string(event), "\n") {
		value, ok := strings.CutPrefix(line, "id:")
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err == nil {
			return id
		}
	}
	return -1
}
