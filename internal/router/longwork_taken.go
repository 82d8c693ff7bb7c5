package router

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/upstream"
)

// takenRun is the run of a job for the router that owns it.
type takenRun struct {
	work    *longWork
	writer  *takenWriter
	request *request // nil if the job can't be run here
}

// runTaken runs a job for its owner, like a request of our own whose time counts from
// the owner's offer.
func (l *longWork) runTaken(ctx context.Context, effect handoff.Effect, offered time.Time) {
	l.router.inflight.Inc()
	defer l.router.inflight.Dec()
	writer := &takenWriter{work: l, ticket: effect.Ticket.Number, head: http.Header{}}
	run := &takenRun{
		work:    l,
		writer:  writer,
		request: l.takenRequest(ctx, writer, effect.Message, offered),
	}
	defer run.end()
	if run.request != nil {
		run.request.runSteps()
	}
}

// takenRequest reads a job's request; nil if it can't be read or has no route here.
func (l *longWork) takenRequest(ctx context.Context, writer *takenWriter, message handoff.Message, offered time.Time) *request {
	received, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message.Body)))
	if err != nil {
		return nil
	}
	q := newRequest(l.router, writer, received.WithContext(ctx))
	path := q.table.Match(received.Host, received.RequestURI)
	if path == nil {
		return nil
	}
	limited := *path
	limited.MaxAttempts = min(limited.MaxAttempts, message.Attempts)
	q.route = &limited
	q.arrived = offered
	q.forPeer = true
	return q
}

// end tells the owner how the run ended. It is to be deferred: it recovers from the
// abort of a run.
func (r *takenRun) end() {
	cause := recover()
	if cause != nil && cause != http.ErrAbortHandler {
		panic(cause)
	}
	attempts := 0
	result := handoff.Returned
	if r.request != nil {
		r.request.release()
		attempts = r.request.history.Sends()
		result = r.outcome(cause != nil)
	}
	work, ticket := r.work, r.writer.ticket
	work.mu.Lock()
	defer work.mu.Unlock()
	work.cancels[ticket]()
	delete(work.cancels, ticket)
	work.apply(work.taker.Finish(ticket, result, attempts))
}

// outcome is what the owner is told of a run whose request could be read.
func (r *takenRun) outcome(aborted bool) handoff.Kind {
	passedOn := r.writer.status != 0 && !r.writer.own
	mayHaveRun := r.request.history.MayHaveRun()
	switch {
	case aborted && (passedOn || mayHaveRun):
		return handoff.Failed
	case passedOn:
		return handoff.Done
	case mayHaveRun:
		return handoff.Failed
	}
	return handoff.Returned
}

// takenHead is the first part of an answer that goes to a job's owner.
type takenHead struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Events bool        `json:"events"`
}

// takenWriter is where the request of a taken job writes its answer. Our own
// refusals and faults are not sent: the owner decides what its client is told.
type takenWriter struct {
	work   *longWork
	ticket uint64
	head   http.Header
	status int  // 0: no head was written yet
	own    bool // the answer is our own, not a replica's
}

// Header is part of http.ResponseWriter.
func (w *takenWriter) Header() http.Header { return w.head }

// WriteHeader sends the head, if it is a replica's.
func (w *takenWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.own = w.head.Get(upstream.HeaderAttemptID) == ""
	if w.own {
		return
	}
	head := takenHead{
		Status: status,
		Header: w.head,
		Events: w.head.Get("Content-Length") == "",
	}
	encoded, err := json.Marshal(head)
	if err == nil {
		w.send(encoded)
	}
}

// Write sends one event, or a whole body.
func (w *takenWriter) Write(piece []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.own {
		w.send(bytes.Clone(piece))
	}
	return len(piece), nil
}

func (w *takenWriter) send(piece []byte) {
	w.work.mu.Lock()
	defer w.work.mu.Unlock()
	w.work.apply(w.work.taker.SendPart(w.ticket, piece))
}

// FlushError is for http.ResponseController: pieces are sent at once.
func (w *takenWriter) FlushError() error { return nil }

// SetReadDeadline is for http.ResponseController; nothing is read.
func (w *takenWriter) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is for http.ResponseController; a write does not wait.
func (w *takenWriter) SetWriteDeadline(time.Time) error { return nil }
