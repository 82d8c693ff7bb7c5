package router

import (
	"net/http"
	"strconv"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/upstream"
)

// handleBlock takes a block of a body that is too large to be held until it is complete: it is passed on as it comes, if such a
// response may be relayed at all. A response that breaks off then ends visibly incomplete.
func (r *receiver) handleBlock(block []byte) outcome {
	req := r.request
	if !req.passing {
		if out := r.beginPassing(); out != outcomePending {
			return out
		}
	}
	req.write(block)
	return outcomePending
}

// beginPassing sends the head on; another outcome than outcomePending if the response is not to be relayed.
func (r *receiver) beginPassing() outcome {
	req, head, id := r.request, &r.head, r.choice.Replica.ID
	failed := isServerFailure(head.Status)
	if failed {
		req.recordFault(id, outlier.ServerError)
	}
	switch {
	case upstream.IsNotExecuted(head.Status, head.Header):
		req.recordFault(id, outlier.InvalidAnswer)
		return req.retry("a refusal with a large body")
	case req.started:
		return req.retry("not resumed")
	case failed && req.mayRetry():
		req.endAttempt("a failure with a large body")
		return outcomeRetry
	case impliesNotExecuted(head.Status):
		return req.retry("the replica refused after it may have run")
	}
	req.passing, req.started = true, true
	req.firstByteAt = time.Now()
	req.checkResponse(head.Status, head.Header)
	copyResponseHeader(req.writer.Header(), head.Header)
	if head.Length >= 0 {
		req.writer.Header().Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	req.writer.WriteHeader(head.Status)
	return outcomePending
}

// write sends bytes of a response on, flushed. It ends the request if the client is gone.
func (req *request) write(content []byte) {
	_ = req.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := req.writer.Write(content); err != nil {
		req.abort()
	}
	if req.control.Flush() != nil {
		req.abort()
	}
}

// isServerFailure reports whether a status is a failure of the replica itself; 504 is the end of the time that it was given.
func isServerFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}
