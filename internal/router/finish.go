package router

import (
	"net/http"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// What Retry-After says, in seconds.
const (
	retryAfterS        = 0.4 // while replicas are overloaded
	retryAfterUnreadyS = 0.8 // while this process has no configuration or list yet: about what a start takes
)

// reject promises that nothing was run and never will be.
func (req *request) reject(kind errkind.Kind) {
	req.router.counts.rejected.Inc()
	after := retryAfterS
	if kind == errkind.Unavailable {
		after = retryAfterUnreadyS
	}
	httpreply.Reject(req.writer, kind, after)
}

// fail ends a request with what may truthfully be said of it: a response that was begun is cut off visibly; a request that
// no replica can have run is rejected; any other fails with the kind.
func (req *request) fail(kind errkind.Kind, cause string) {
	switch {
	case req.started:
		req.router.counts.failed.Inc()
		panic(http.ErrAbortHandler) // the client must see that it is incomplete
	case !req.history.MayHaveRun():
		req.reject(errkind.Overloaded)
	default:
		req.router.counts.failed.Inc()
		httpreply.Error(req.writer, errkind.New(kind, "%s", cause))
	}
}

// abort ends a request whose client is gone. The connection is closed: a handler that just returned would have an empty
// success sent to a client that closed only its own direction.
func (req *request) abort() {
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
