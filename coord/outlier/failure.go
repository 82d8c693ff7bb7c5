package outlier

// FailureKind is what went wrong with a request.
type FailureKind int

// The kinds of failures.
const (
	ConnectionRefused FailureKind = iota // no connection could be opened
	Timeout                              // no answer in time
	ConnectionReset                      // the connection ended before an answer
	InvalidAnswer                        // an answer that broke off, or could not be read
	ServerError                          // a 5xx of its own
	Rejected                             // rejected though it reported free slots
	Overdue                              // far later than predicted
	Unbounded                            // an answer that went over a limit of bytes, work or memory
	StaleConnection                      // an idle connection was reset when it was used again: most likely its keep-alive had expired
)

// weights are what one failure of each kind counts for. The unit of all sums of failures is a full one, of weight 1.
var weights = [...]float64{
	ConnectionRefused: 1,
	Timeout:           1,
	ConnectionReset:   0.5,  // one of a burst of resets says little
	InvalidAnswer:     0.6,  // as a server error
	Unbounded:         0.6,  // as an answer that could not be read, but some are the request's own fault
	ServerError:       0.6,  // some are the request's own fault
	Rejected:          0.3,  // other replicas may do so a moment later
	Overdue:           0.4,  // predictions err, but a request that is not retriable may wait for it until its deadline
	StaleConnection:   0.25, // an expired keep-alive is no failure, but a replica that closes more than its peers fails what is not retriable
}

// ejectsAtOnce reports whether nothing sent to the replica now would arrive.
func (k FailureKind) ejectsAtOnce() bool { return k == ConnectionRefused || k == Timeout }
