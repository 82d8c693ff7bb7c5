package router

import (
	"net/http"
	"strings"

	"shaletrestle/internal/upstream"
)

// hopByHopHeaders concern one connection only and are never forwarded. Content-Length is written anew with the body.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Content-Length":      true,
	"Expect":              true,
}

// forwardHeader returns what a replica gets of a client's header: all but what concerns one connection. The values are
// shared with the original.
func forwardHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header)+4)
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range header {
		isNamed := named[name] && name != upstream.HeaderAttemptID && name != upstream.HeaderTimeBudget
		if !hopByHopHeaders[name] && !isNamed {
			forwarded[name] = values
		}
	}
	if _, ok := forwarded["User-Agent"]; !ok {
		forwarded["User-Agent"] = []string{""} // or the standard library would write its own
	}
	return forwarded
}

// responseHeaders may reach the client.
var responseHeaders = []string{
	"Content-Type",
	"Attempt-Id",
	"Replica-Seal",
	"Replica-Load",
	"Weight-Versions",
	"Retry-After",
	"Cache-Control",
	"Content-Language",
	"Etag",
	"Last-Modified",
	"Vary",
	"Location",
	"Allow",
	"Www-Authenticate",
	"Accept-Ranges",
	"Content-Range",
	"Content-Disposition",
	"Link",
	"Replica-Id",
}

// copyResponseHeader copies what of a response's header may reach the client.
func copyResponseHeader(to, from http.Header) {
	for _, name := range responseHeaders {
		if values, ok := from[name]; ok {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // or the standard library would guess one
	}
}
