package prefixindex

// FetchPays reports whether importing a run from a peer is quicker than computing
// it again: the link carries a token's bytes in less time than its prefill takes (m02). tokenBytes is the size
// of a token's cache entry, linkMbps the speed of the link in megabits a second, and prefillPerToken in seconds; without
// either it never pays. Nothing calls it yet: replicas have no call for importing.
func FetchPays(tokenBytes, linkMbps, prefillPerToken float64) bool {
	if linkMbps <= 0 || prefillPerToken <= 0 {
		return false
	}
	return tokenBytes*8/(linkMbps*1e6) < prefillPerToken
}
