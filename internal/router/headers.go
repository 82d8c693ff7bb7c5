package router

import (
	"net/http"
	"strings"

	"shaletrestle/internal/upstream"
)

// hopByHopHeaders are the heads that concern one connection only.
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

// forwardHeader copies an inquiry's heads, all but those of one connection.
func forwardHeader(h http.Header) http.Header {
	o := make(http.Header, len(h)+4)
	named := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, x := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(x))] = true
		}
	}
	for k, v := range h {
		if !hopByHopHeaders[k] && (!named[k] || k == upstream.HeaderAttemptID || k == upstream.HeaderTimeBudget) {
			o[k] = v
		}
	}
	if _, ok := o["User-Agent"]; !ok {
		o["User-Agent"] = []string{""}
	}
	return o
}

// responseHeaders is the allow list of heads of an answer.
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

// copyResponseHeader copies the heads of an answer that may reach the client.
func copyResponseHeader(to, from http.Header) {
	for _, k := range responseHeaders {
		if v, ok := from[k]; ok {
			to[k] = v
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
