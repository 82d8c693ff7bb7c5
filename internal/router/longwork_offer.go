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
func (req *request) isLong() bool {
	engine := req.service.Engine
	if !req.router.longWork.enabled() || engine == nil {
		return false
	}
	settings := req.router.settings.Load().LongWork
	in, out := tokenCounts(req.inbound.Header.Get("Token-Counts"))
	marks := handoff.Thresholds{Patient: settings.PatientTargets, Heavy: settings.HeavyTargets}
	req.isLongWork = marks.IsLong(handoff.Demand{
		Stream:       req.route.Kind == routing.Streaming,
		Aim:          req.route.LatencyTarget,
		Timeout:      req.route.Timeout,
		Gap:          req.route.EventGapTarget,
		Stride:       engine.Stride,
		PromptTokens: in,
		OutputTokens: out,
		PerToken:     placement.InitialPrefillPerToken,
	})
	return req.isLongWork
}

// haul places long work: with a neighbour if this node is overloaded, else among
// what runs here. If it gives true, the request is answered.
func (req *request) haul() bool {
	work := req.router.longWork
	work.mu.Lock()
	work.open[req] = struct{}{}
	work.mu.Unlock()
	if req.mayBeOffered() {
		node := work.reservePeer(req.route)
		if node != "" && req.offer(node) {
			return true
		}
	}
	return !req.enter()
}

func (req *request) mayBeOffered() bool {
	if req.forPeer || time.Until(req.rejectAfter()) < longAnswer {
		return false
	}
	return req.router.settings.Load().LongWork.Always || req.router.longWork.overloaded()
}

// pack writes the request as its taker is to send it; nil if that is not possible.
func (req *request) pack() []byte {
	left := time.Until(req.deadline) - budgetReserve
	header := req.header.Clone()
	header.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if req.lastEventID >= 0 {
		header.Set(upstream.HeaderLastEventID, strconv.FormatInt(req.lastEventID, 10))
	}
	outgoing := &http.Request{
		Method:        req.inbound.Method,
		URL:           upstream.RequestURL(req.inbound.RequestURI),
		Host:          req.inbound.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(req.body)),
		Body:          http.NoBody,
	}
	if len(req.body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(req.body))
	}
	var packed bytes.Buffer
	if outgoing.Write(&packed) != nil {
		return nil
	}
	return packed.Bytes()
}

// offer lets a neighbour run the request; false if it was returned and may be run
// here.
func (req *request) offer(node string) (answered bool) {
	body := req.pack()
	if body == nil {
		return false
	}
	offered := req.newOfferedJob(node, body)
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
		case <-req.inbound.Context().Done():
			req.abort()
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
func (req *request) newOfferedJob(node string, body []byte) *offeredJob {
	work := req.router.longWork
	job := &offeredJob{
		work:    work,
		request: req,
		node:    node,
		inbox:   make(chan handoff.Effect, longInbox),
		joined:  !req.started,
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	deadline := work.now() + time.Until(req.deadline) - budgetReserve
	job.number = work.owner.Take(deadline, req.route.IsRetriable(), req.route.MaxAttempts)
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
		if !q.relayEvent(event, j.head.Header, &j.joined) {
			return j.broken("events out of order")
		}
	default:
		j.body = append(j.body, piece...)
	}
	return jobOpen
}

// broken gives the request up: its answer can't be used, and it has run.
func (j *offeredJob) broken(why string) jobState {
	j.request.history.AddRemote(0, true)
	j.request.fail(errkind.UpstreamFailure, why)
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
	q.history.AddRemote(q.route.MaxAttempts-attemptsLeft-q.history.Sends(), lost)
	return true
}

// ended takes the outcome of a job that does not come back.
func (j *offeredJob) ended(effect handoff.Effect) jobState {
	q := j.request
	q.history.AddRemote(effect.Message.Attempts, effect.Outcome != handoff.Rejected)
	switch effect.Outcome {
	case handoff.Complete:
		return j.completed()
	case handoff.Rejected:
		q.fail(errkind.Overloaded, "no time for long work")
	case handoff.DeadlineExceeded:
		q.fail(errkind.DeadlineExceeded, "time ran out")
	default:
		j.countBroken()
		j.work.log.Warn("a neighbour was lost with a job that may have begun", "node", j.node, "request", q.id)
		q.fail(errkind.UpstreamFailure, "the neighbour was lost")
	}
	return jobAnswered
}

// completed takes the end of an answer that came whole.
func (j *offeredJob) completed() jobState {
	q := j.request
	j.countElsewhere()
	if j.head == nil || j.head.Events != q.started {
		q.fail(errkind.UpstreamFailure, "no whole answer")
		return jobAnswered
	}
	if j.head.Events {
		return jobAnswered
	}
	answer := &upstream.Part{Status: j.head.Status, Header: j.head.Header, Bytes: j.body}
	if q.complete(answer, "") {
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
	j.work.adjustCapacity(j.node, 1)
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
