package longwork

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

// Run is how the run of a peer's job ended in this router. Its zero value is a run that could not begin.
type Run struct {
	Attempts   int  // replicas that the request was sent to
	MayHaveRun bool // a replica may have run it
	Aborted    bool // its response was cut off
}

// runForPeer runs a job for its owner and tells it how that ended.
func (c *Coordinator) runForPeer(ctx context.Context, effect handoff.Effect, offeredAt time.Time) {
	writer := &partWriter{coordinator: c, ticket: effect.Ticket.Number, header: http.Header{}}
	var run Run
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(effect.Message.Body)))
	if err == nil {
		run = c.router.RunForPeer(writer, request.WithContext(ctx), effect.Message.Attempts, offeredAt)
	}
	c.finishForPeer(writer, run)
}

func (c *Coordinator) finishForPeer(writer *partWriter, run Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[writer.ticket]()
	delete(c.cancels, writer.ticket)
	c.apply(c.taker.Finish(writer.ticket, run.result(writer.passedOn()), run.Attempts))
}

// result is the kind of the message that ends a run for its owner. passedOn says that a replica's response, or a part of it,
// went to the owner.
func (r Run) result(passedOn bool) handoff.Kind {
	switch {
	case r.Aborted && (passedOn || r.MayHaveRun):
		return handoff.Failed
	case passedOn:
		return handoff.Done
	case r.MayHaveRun:
		return handoff.Failed
	}
	return handoff.Returned
}

// responseHead is the first part of a response that goes to a job's owner.
type responseHead struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Events bool        `json:"events"`
}

// partWriter is where a peer's request writes its response: each write is a part. Responses of this router itself,
// rejections and faults, are not sent: the owner decides how to answer its client.
type partWriter struct {
	coordinator *Coordinator
	ticket      uint64
	header      http.Header
	status      int  // 0: no head was written yet
	isOwn       bool // the response is this router's, not a replica's
}

// passedOn reports whether a replica's response was sent on, at least in part.
func (w *partWriter) passedOn() bool { return w.status != 0 && !w.isOwn }

// Header is part of http.ResponseWriter.
func (w *partWriter) Header() http.Header { return w.header }

// WriteHeader sends the head, if it is a replica's.
func (w *partWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	// only a replica's response names its attempt
	w.isOwn = w.header.Get(upstream.HeaderAttemptID) == ""
	if w.isOwn {
		return
	}
	head := responseHead{
		Status: status,
		Header: w.header,
		Events: w.header.Get("Content-Length") == "", // Router.relay sets it, relayEvent does not
	}
	encoded, err := json.Marshal(head)
	if err == nil {
		w.send(encoded)
	}
}

// Write sends one event, or a complete body.
func (w *partWriter) Write(piece []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.isOwn {
		w.send(bytes.Clone(piece))
	}
	return len(piece), nil
}

func (w *partWriter) send(piece []byte) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.taker.SendPart(w.ticket, piece))
}

// FlushError is for http.ResponseController: parts are sent at once.
func (w *partWriter) FlushError() error { return nil }

// SetReadDeadline is for http.ResponseController; nothing is read.
func (w *partWriter) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is for http.ResponseController; a write does not wait.
func (w *partWriter) SetWriteDeadline(time.Time) error { return nil }
