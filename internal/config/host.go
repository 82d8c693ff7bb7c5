package config

import "strings"

// CanonicalHost is the one form of a host under which routes and requests are compared: without its port, in lower case, and
// without the dot that may end a full name. It allocates only for a host that is not in lower case.
func CanonicalHost(host string) string {
	return strings.TrimSuffix(strings.ToLower(withoutPort(host)), ".")
}

// withoutPort cuts the port off a host; the colons of an IPv6 address in brackets stay.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}
