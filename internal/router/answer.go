package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/upstream"
)

// refuse promises that nothing was run and never will be.
func (q *request) refuse(k errkind.Kind) {
	q.g.count.refused.Inc()
	after := retryAfter
	if k == errkind.Unavailable {
		after = retryUnready
	}
	httpreply.Reject(q.w, k, after)
}

// giveUp ends a request with what may truly be said of it.
func (q *request) giveUp(k errkind.Kind, why string) {
	switch {
	case q.began:
		q.g.count.failed.Inc()
		panic(http.ErrAbortHandler) // the client must see that it is incomplete
	case !q.try.MayHaveRun():
		q.refuse(errkind.Overloaded)
	default:
		q.g.count.failed.Inc()
		httpreply.Error(q.w, errkind.New(k, "%s", why))
	}
}

// abandon ends a request whose client is gone. The connection is closed: a handler that just returned
// would have an empty success sent to a client that closed only its own direction.
func (q *request) abandon() {
	panic(http.ErrAbortHandler)
}

func (q *request) told(id, load string) {
	if v, ok := loads(load); ok {
		q.g.yard.UpdateLoad(id, v[0], v[1], v[2])
		q.g.long.load(q.ask.Pool, id, v)
	}
}

// loads reads a replica's word on its load: running, waiting, slots.
func loads(s string) (v [3]float64, ok bool) {
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

// full tells whether a replica that turned something away says that all its places are taken; one that
// says nothing of them is believed.
func full(load string) bool {
	v, ok := loads(load)
	return !ok || v[0]+v[1] >= v[2]
}

// event passes one event on; false if it does not follow the last.
func (q *request) event(p *upstream.Part, h http.Header, joined *bool) bool {
	if !q.follows(p.ID, *joined) {
		return false
	}
	if p.ID >= 0 {
		if *joined && q.lastID >= 0 {
			q.step = p.ID - q.lastID
		}
		q.lastID = p.ID
	}
	*joined = true
	if !q.began {
		q.began = true
		q.promptCame()
		passBack(q.w.Header(), h)
		q.w.WriteHeader(http.StatusOK)
	}
	_ = q.rc.SetWriteDeadline(time.Now().Add(writeWait))
	if _, err := q.w.Write(p.Bytes); err != nil {
		panic(http.ErrAbortHandler)
	}
	if q.rc.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// follows tells whether an event may be passed on after those that the client has. joined is false for
// the first event of a run that goes on where another one ended: that one must be the very next.
func (q *request) follows(id int64, joined bool) bool {
	if id < 0 {
		return joined
	}
	if q.lastID < 0 {
		return joined
	}
	step := id - q.lastID
	if step <= 0 {
		return false
	}
	return joined || q.step == 0 || step == q.step
}

// turnedAway deals with a whole answer that promises that the replica did not run the request; true
// means that another replica may be tried.
func (q *request) turnedAway(p *upstream.Part, id string) bool {
	q.ask.Excluded[id] = true
	switch {
	case p.Status == http.StatusMisdirectedRequest:
		q.g.yard.MarkMisaddressed(id)
	case p.Status != http.StatusBadRequest && !full(p.Header.Get(upstream.HeaderLoad)):
		q.blame(id, outlier.Rejected)
	}
	if p.Status == http.StatusBadRequest && !q.try.MayHaveRun() && !q.began {
		q.answer(p)
		return false
	}
	return q.again("replicas refused")
}

// whole ends a request with an answer that came whole; true means that another replica may be tried.
func (q *request) whole(p *upstream.Part, id string) bool {
	failed := p.Status >= http.StatusInternalServerError && p.Status != http.StatusGatewayTimeout
	if failed {
		q.blame(id, outlier.ServerError)
	}
	if q.began {
		if p.Bytes != nil { // a resumed run answered with something else than events
			return q.again("not resumed")
		}
		return false
	}
	switch {
	case failed && q.try.MayRetry(q.path.IsRetriable(), q.path.MaxAttempts):
		return true
	case promise(p.Status):
		q.giveUp(errkind.UpstreamFailure, "the replica refused after it may have run")
		return false
	}
	q.answer(p)
	return false
}

// promise tells whether a status of ours says that the request never ran: a replica's own answer with
// such a status, but without its promise, is not passed on.
func promise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// answer passes a replica's whole answer on, its status and seal unchanged.
func (q *request) answer(p *upstream.Part) {
	passBack(q.w.Header(), p.Header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(p.Bytes)))
	q.w.WriteHeader(p.Status)
	_ = q.rc.SetWriteDeadline(time.Now().Add(writeWait))
	_, _ = q.w.Write(p.Bytes)
}
