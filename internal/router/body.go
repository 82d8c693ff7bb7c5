package router

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
)

const (
	// bodyMemoryFraction is the part of memory_mb that bodies in flight may take.
	bodyMemoryFraction = 0.25
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

// reserveBody reserves memory for a body. When it runs short, a route that has its fair share is rejected and the others
// are not.
func (req *request) reserveBody(size int64) bool {
	if !req.router.bodies.TryAcquire(req.route.Name, size) {
		req.writer.Header().Set("Connection", "close")
		req.reject(errkind.Overloaded, "memory for bodies is short")
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
