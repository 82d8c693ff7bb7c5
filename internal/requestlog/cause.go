package requestlog

// Cause says why a request ended as it did.
type Cause uint8

// The causes. The zero value is a request that has not ended.
const (
	Unfinished       Cause = iota
	Served                 // a replica's complete answer with a status below 500 went out
	ReplicaError           // a replica's complete answer with a status of 500 or above went out
	Overloaded             // no replica could take it; nothing ran
	NotReady               // this router had no configuration or no list of replicas yet; nothing ran
	DeadlineExceeded       // the client's deadline or the route's timeout was reached
	UpstreamFailure        // it may have run, and no replica gave a usable answer
	CutOff                 // a response had begun and was ended visibly incomplete
	ClientGone             // the client closed its connection or stopped reading
	InvalidRequest         // framing, target, header or body is not acceptable
	NoRoute                // no route matches
	causeCount
)

var causeNames = [causeCount]string{
	"unfinished", "served", "replica_error", "overloaded", "not_ready", "deadline_exceeded", "upstream_failure",
	"cut_off", "client_gone", "invalid_request", "no_route",
}

// String names the cause as metrics and records do.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return "unknown"
}

// isFailure reports whether a request that ended so is remembered as failed. An unknown route is the client's mistake,
// and asked for on purpose.
func (c Cause) isFailure() bool { return c != Served && c != NoRoute }

// isLogged reports whether failures with this cause get a line of the log: a client that leaves is no failure of ours.
func (c Cause) isLogged() bool { return c.isFailure() && c != ClientGone }
