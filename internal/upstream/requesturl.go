package upstream

import (
	"net/url"
	"strings"
)

// RequestURL is a request's target as the standard library writes it: unchanged, byte by byte, where Passable
// says so.
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

// CanForward tells whether a target can be passed on unchanged.
func CanForward(raw string) bool { return RequestURL(raw).RequestURI() == raw }
