package simtest

import (
	"cmp"
	"fmt"
	"net/http"
)

// checkMixed checks a success against the only complete answer that this request can have.
func checkMixed(_ *Simulation, x *exchange) string {
	if x.status != http.StatusOK {
		return ""
	}
	want := answerTo(x.id)
	if x.header.Get("Content-Type") == "text/event-stream" {
		want = pieces(cmp.Or(x.events, usualEvents))
	}
	if x.header.Get("Replica-Seal") != sealOf(x.id) || x.body != want {
		return fmt.Sprintf("got %q", x.body)
	}
	return ""
}

// checkMixedFailure checks the seal on a failure against the statuses that replicas gave under it.
func checkMixedFailure(_ *Simulation, x *exchange) string {
	if x.status == 0 || x.status/100 == 2 || x.header.Get("Replica-Seal") == "" {
		return ""
	}
	if x.header.Get("Replica-Seal") == sealOf(x.id) && x.sealed[x.status] {
		return ""
	}
	return fmt.Sprintf("bears a seal and status %d, which no replica gave", x.status)
}
