package router

import (
	"net/http"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/requestlog"
)

// What Retry-After says, in seconds.
const (
	retryAfterS        = 0.4 // while replicas are overloaded
	retryAfterUnreadyS = 0.8 // while this process has no configuration or list yet: about what a start takes
	retryAfterLeavingS = 0.1 // while this process shuts down: the client's next connection goes to another one
)

// reject promises that nothing was run and never will be. The detail is for the record of the request only.
func (req *request) reject(kind errkind.Kind, detail string) {
	req.checkRejection()
	req.router.counts.rejected.Inc()
	after, cause := retryAfterS, requestlog.Overloaded
	switch {
	case kind == errkind.Unavailable:
		after, cause = retryAfterUnreadyS, requestlog.NotReady
	case req.router.draining.Load():
		after = retryAfterLeavingS
	}
	req.trail.Finish(cause, detail)
	httpreply.Reject(req.writer, kind, after)
}

// fail ends a request with what may truthfully be said of it: a response that was begun is cut off visibly; a request that
// no replica can have run is rejected; any other fails with the kind.
func (req *request) fail(kind errkind.Kind, cause string) {
	switch {
	case req.started:
		req.router.counts.failed.Inc()
		req.trail.Finish(requestlog.CutOff, cause)
		panic(http.ErrAbortHandler) // the client must see that it is incomplete
	case !req.history.MayHaveRun():
		req.reject(errkind.Overloaded, cause)
	default:
		req.router.counts.failed.Inc()
		req.trail.Finish(failureCause(kind), cause)
		httpreply.Error(req.writer, errkind.New(kind, "%s", cause))
	}
}

// failureCause is the cause of an end with an error of this router's own.
func failureCause(kind errkind.Kind) requestlog.Cause {
	if kind == errkind.DeadlineExceeded {
		return requestlog.DeadlineExceeded
	}
	return requestlog.UpstreamFailure
}

// abort ends a request whose client is gone. The connection is closed: a handler that just returned would have an empty
// success sent to a client that closed only its own direction.
func (req *request) abort() {
	req.trail.Finish(requestlog.ClientGone, "")
	panic(http.ErrAbortHandler)
}

// impliesNotExecuted reports whether a status of this router says that the request never ran: a replica's own response
// with such a status, but without its promise, is not relayed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}
