package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/upstream"
)

// reject promises that nothing was run and never will be.
func (req *request) reject(k errkind.Kind) {
	req.router.counts.rejected.Inc()
	after := retryAfterS
	if k == errkind.Unavailable {
		after = retryAfterUnreadyS
	}
	httpreply.Reject(req.writer, k, after)
}

// fail ends a request with what may truly be said of it.
func (req *request) fail(k errkind.Kind, why string) {
	switch {
	case req.started:
		req.router.counts.failed.Inc()
		panic(http.ErrAbortHandler) // the client must see that it is incomplete
	case !req.history.MayHaveRun():
		req.reject(errkind.Overloaded)
	default:
		req.router.counts.failed.Inc()
		httpreply.Error(req.writer, errkind.New(k, "%s", why))
	}
}

// abort ends a request whose client is gone. The connection is closed: a handler that just returned
// would have an empty success sent to a client that closed only its own direction.
func (req *request) abort() {
	panic(http.ErrAbortHandler)
}

func (req *request) recordLoad(id, load string) {
	if v, ok := parseLoad(load); ok {
		req.router.placer.UpdateLoad(id, placement.LoadReport{Running: v[0], Waiting: v[1], Slots: v[2]})
		req.router.longWork.recordLoad(req.wanted.Pool, id, v)
	}
}

// parseLoad reads a replica's word on its load: running, waiting, slots.
func parseLoad(s string) (v [3]float64, ok bool) {
	x := strings.Split(s, ",")
	if len(x) != 3 {
		return v, false
	}
	for i := range x {
		f, err := strconv.ParseFloat(strings.TrimSpace(x[i]), 64)
		if err != nil || !(f >= 0) {
			return v, false
		}
		v[i] = f
	}
	return v, true
}

// reportsFull tells whether a replica that turned something away says that all its places are taken; one that
// says nothing of them is believed.
func reportsFull(load string) bool {
	v, ok := parseLoad(load)
	return !ok || v[0]+v[1] >= v[2]
}

// relayEvent passes one event on; false if it does not follow the last.
func (req *request) relayEvent(p *upstream.Part, h http.Header, joined *bool) bool {
	if !req.mayFollow(p.ID, *joined) {
		return false
	}
	if p.ID >= 0 {
		if *joined && req.lastEventID >= 0 {
			req.eventStep = p.ID - req.lastEventID
		}
		req.lastEventID = p.ID
	}
	*joined = true
	if !req.started {
		req.started = true
		req.promptCame()
		copyResponseHeader(req.writer.Header(), h)
		req.writer.WriteHeader(http.StatusOK)
	}
	_ = req.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := req.writer.Write(p.Bytes); err != nil {
		panic(http.ErrAbortHandler)
	}
	if req.control.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// mayFollow tells whether an event may be passed on after those that the client has. joined is false for
// the first event of a run that goes on where another one ended: that one must be the very next.
func (req *request) mayFollow(id int64, joined bool) bool {
	if id < 0 {
		return joined
	}
	if req.lastEventID < 0 {
		return joined
	}
	step := id - req.lastEventID
	if step <= 0 {
		return false
	}
	return joined || req.eventStep == 0 || step == req.eventStep
}

// handleRejection deals with a whole answer that promises that the replica did not run the request; true
// means that another replica may be tried.
func (req *request) handleRejection(p *upstream.Part, id string) bool {
	req.wanted.Excluded[id] = true
	switch {
	case p.Status == http.StatusMisdirectedRequest:
		req.router.placer.MarkMisaddressed(id)
	case p.Status != http.StatusBadRequest && !reportsFull(p.Header.Get(upstream.HeaderLoad)):
		req.recordFault(id, outlier.Rejected)
	}
	if p.Status == http.StatusBadRequest && !req.history.MayHaveRun() && !req.started {
		req.relay(p)
		return false
	}
	return req.retry("replicas refused")
}

// complete ends a request with an answer that came whole; true means that another replica may be tried.
func (req *request) complete(p *upstream.Part, id string) bool {
	failed := p.Status >= http.StatusInternalServerError && p.Status != http.StatusGatewayTimeout
	if failed {
		req.recordFault(id, outlier.ServerError)
	}
	if req.started {
		if p.Bytes != nil { // a resumed run answered with something else than events
			return req.retry("not resumed")
		}
		return false
	}
	switch {
	case failed && req.history.MayRetry(req.route.IsRetriable(), req.route.MaxAttempts):
		return true
	case impliesNotExecuted(p.Status):
		req.fail(errkind.UpstreamFailure, "the replica refused after it may have run")
		return false
	}
	req.relay(p)
	return false
}

// impliesNotExecuted tells whether a status of ours says that the request never ran: a replica's own answer with
// such a status, but without its promise, is not passed on.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// relay passes a replica's whole answer on, its status and seal unchanged.
func (req *request) relay(p *upstream.Part) {
	copyResponseHeader(req.writer.Header(), p.Header)
	req.writer.Header().Set("Content-Length", strconv.Itoa(len(p.Bytes)))
	req.writer.WriteHeader(p.Status)
	_ = req.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = req.writer.Write(p.Bytes)
}
