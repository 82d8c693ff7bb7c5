package router

import (
	"io"
	"net/http"
	"time"

	"shaletrestle/coord/attempt"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/upstream"
)

// readyTimeout is how long a request waits for a first configuration and list of replicas: a start takes less.
const readyTimeout = 1 * time.Second

// request is one client's request on its way. It belongs to the goroutine that serves it.
type request struct {
	router  *Router
	inbound *http.Request
	writer  http.ResponseWriter
	control *http.ResponseController // of writer
	arrived time.Time
	forPeer bool // another router owns it (peer.go)

	// What the route says.
	table    *routing.Table
	route    *routing.Route
	service  *routing.Pool
	id       string // Attempt-Id
	deadline time.Time

	// What goes to replicas.
	header        http.Header
	body          []byte
	reservedBytes int64 // of the memory for bodies
	wanted        *placement.Request
	work          *longwork.Work // nil: no long work

	// What is known of it.
	history     attempt.History
	ledger      sendLedger
	trail       requestlog.Trail
	started     bool      // the client has the head of a response
	passing     bool      // that response is passed on in blocks: no other one may follow
	firstByteAt time.Time // when a response began; zero: none has
	lastEventID int64     // of the newest event that the client has, -1 before the first
	eventStep   int64     // between the ids of two events; 0: not known
}

func newRequest(router *Router, writer http.ResponseWriter, inbound *http.Request) *request {
	return &request{
		router:      router,
		writer:      writer,
		inbound:     inbound,
		control:     http.NewResponseController(writer),
		table:       router.table.Load(),
		arrived:     time.Now(),
		lastEventID: -1,
	}
}

// serve is the handler of all clients' requests.
func (r *Router) serve(writer http.ResponseWriter, inbound *http.Request) {
	r.inflight.Inc()
	defer r.inflight.Dec()
	r.counts.requests.Inc()
	if r.closesConnections() {
		writer.Header().Set("Connection", "close")
	}
	req := newRequest(r, writer, inbound)
	defer req.end()
	if !req.awaitReady() || !req.validate() {
		return
	}
	req.route = req.table.Match(inbound.Host, inbound.RequestURI)
	if req.route == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(inbound.Body, settings.HeaderBytes))
		req.trail.Finish(requestlog.NoRoute, "")
		httpreply.Error(writer, errkind.New(errkind.NoRoute, "no route"))
		return
	}
	req.runSteps()
}

// awaitReady delays a request, at most for readyTimeout, while this process has no configuration or list of replicas yet.
// It returns false if the request was answered.
func (req *request) awaitReady() bool {
	if req.router.ready.Load() {
		return true
	}
	select {
	case <-req.router.becameReady:
		req.table = req.router.table.Load()
		return true
	case <-time.After(readyTimeout):
		req.reject(errkind.Unavailable, "no configuration or list of replicas yet")
	case <-req.inbound.Context().Done():
		req.abort()
	}
	return false
}

// validate rejects a request whose framing, header or target is not acceptable; it returns false if it did.
func (req *request) validate() bool {
	if frontend.AmbiguousFraming(req.inbound) {
		return req.refuseAndClose(errkind.InvalidInput, "both a length and chunks")
	}
	if limit := req.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(req.inbound) > limit {
		return req.refuseAndClose(errkind.HeaderTooLarge, "head over the limit")
	}
	if !upstream.CanForward(req.inbound.RequestURI) {
		return req.refuseAndClose(errkind.InvalidInput, "a target that can't be passed on as it is")
	}
	return true
}

// refuseAndClose answers an unacceptable request and lets its connection end: its next bytes may be part of
// this request. It returns false, for validate and readBody.
func (req *request) refuseAndClose(kind errkind.Kind, text string) bool {
	req.trail.Finish(requestlog.InvalidRequest, text)
	req.writer.Header().Set("Connection", "close")
	httpreply.Error(req.writer, errkind.New(kind, "%s", text))
	return false
}

// headerSize estimates the size of a request's head on the wire, in bytes: the fixed parts of the request line and of Host
// are 20 bytes, and each other line has a colon, a space and a line end, 4 bytes.
func headerSize(inbound *http.Request) int {
	size := len(inbound.Method) + len(inbound.RequestURI) + len(inbound.Host) + 20
	for name, values := range inbound.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// end records how the request ended, and gives back what it holds.
func (req *request) end() {
	req.checkEnd()
	req.router.requests.Finish(req.describe(), &req.trail)
	req.release()
}

// describe sums the request up for its record.
func (req *request) describe() *requestlog.Request {
	summary := &requestlog.Request{
		AttemptID:   req.inbound.Header.Get(upstream.HeaderAttemptID),
		Method:      req.inbound.Method,
		Target:      req.inbound.RequestURI,
		ArrivedAt:   req.arrived,
		FirstByteAt: req.firstByteAt,
		Deadline:    req.deadline,
		Revision:    req.table.Revision,
	}
	if req.route != nil {
		summary.Route, summary.LatencyTarget = req.route.Name, req.route.LatencyTarget
	}
	if req.service != nil {
		summary.Service = req.service.Name
	}
	return summary
}

// release gives back what a request holds in this process, whatever became of it.
func (req *request) release() {
	if req.work != nil {
		req.work.Close()
	}
	if req.reservedBytes > 0 {
		req.router.bodies.Release(req.route.Name, req.reservedBytes)
	}
}
