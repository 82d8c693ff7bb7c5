package upstream

import (
	"net/url"
	"strings"
)

// RequestURL returns a URL that the standard library writes as the raw request target: unchanged, byte by byte, if
// CanForward reports so.
func RequestURL(raw string) *url.URL {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Scheme: "http", Opaque: raw}
	}
	// an opaque target that begins with two slashes would be written with a scheme before it
	path, query, asked := strings.Cut(raw, "?")
	plain, err := url.PathUnescape(path)
	if err != nil {
		plain = path
	}
	return &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: asked && query == ""}
}

// CanForward reports whether a raw request target can be sent on unchanged.
func CanForward(raw string) bool { return RequestURL(raw).RequestURI() == raw }
