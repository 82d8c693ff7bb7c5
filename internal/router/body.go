package router

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
)

const (
	// bodyMemoryFraction is the part of memory_mb that requests in flight may take with their bodies.
	bodyMemoryFraction = 0.25
	// requestBytes is the memory that a request takes beside its body: its goroutines, buffers and heads, towards the client and
	// the replica.
	requestBytes = 32 << 10
	// bodiesAtOnce is how many bodies of unknown length, each as large as it may be, find room at least.
	bodiesAtOnce = 8
	// bodyTimeout is how long a client may take over its body.
	bodyTimeout = 10 * time.Second
)

// readBody reads the body, complete, into accounted memory; false if the request was answered.
func (req *request) readBody() bool {
	limit := req.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = adminapi.MaxConfigurationBytes
	}
	if req.inbound.ContentLength > limit {
		return req.refuseAndClose(errkind.BodyTooLarge, "body over the limit")
	}
	if !req.reserveBody(requestBytes) {
		return false
	}
	_ = req.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := bodyBuffer{reserve: req.reserveBody, release: req.releaseBody, limit: min(limit, req.router.largestBody())}
	err := body.readFrom(http.MaxBytesReader(req.writer, req.inbound.Body, limit), req.inbound.ContentLength)
	if errors.Is(err, errBodyMemory) {
		return false // answered by reserveBody
	}
	if err != nil {
		return req.refuseBody(err)
	}
	_ = req.control.SetReadDeadline(time.Time{})
	req.body = body.content
	return true
}

// refuseBody answers a request whose body could not be read.
func (req *request) refuseBody(err error) bool {
	switch kind := errkind.OfBody(err); kind {
	case errkind.BodyTooLarge:
		return req.refuseAndClose(kind, "body over the limit")
	case errkind.ClientTimeout:
		return req.refuseAndClose(kind, "body too slow")
	default:
		return req.refuseAndClose(kind, "body can't be read")
	}
}

// reserveBody reserves memory for a request or its body. When it runs short, a route that has its fair share is rejected and the others
// are not.
func (req *request) reserveBody(size int64) bool {
	if !req.router.bodies.TryAcquire(req.route.Name, size) {
		req.writer.Header().Set("Connection", "close")
		req.reject(errkind.Overloaded, "memory for requests is short")
		return false
	}
	req.reservedBytes += size
	return true
}

// releaseBody gives back memory that a body did not need.
func (req *request) releaseBody(size int64) {
	req.router.bodies.Release(req.route.Name, size)
	req.reservedBytes -= size
}

// largestBody is the most memory that a body of unknown length is granted at once.
func (r *Router) largestBody() int64 {
	return int64(r.settings.Load().Limits.MemoryMB * bytesPerMB * bodyMemoryFraction / bodiesAtOnce)
}
