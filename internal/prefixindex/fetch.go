package prefixindex

// FetchPays tells whether importing a run from a peer is quicker than computing
// it again: the link carries a token's bytes in less time than its prefill takes.
func FetchPays(tokenBytes, linkMbps, prefillPerToken float64) bool {
	if linkMbps <= 0 || prefillPerToken <= 0 {
		return false
	}
	return tokenBytes*8/(linkMbps*1e6) < prefillPerToken
}
