package outlier

// FailureKind is what went wrong with a request.
type FailureKind int

// The kinds, by what they say of the replica.
const (
	ConnectionRefused FailureKind = iota // no connection could be opened
	Timeout                              // no answer in time
	ConnectionReset                      // the connection ended before an answer
	InvalidAnswer                        // an answer that broke off, or could not be read
	ServerError                          // a 5xx of its own
	Rejected                             // turned away though it reported free slots
	Overdue                              // far later than predicted
	StaleConnection                      // an idle connection was reset when it was used again: most likely it timed out
)

// weights are the parts of a whole failure that the kinds count for.
var weights = [...]float64{
	ConnectionRefused: 1,
	Timeout:           1,
	ConnectionReset:   0.5,  // one of a burst of resets says little
	InvalidAnswer:     0.6,  // as a server error
	ServerError:       0.6,  // some are the request's own fault
	Rejected:          0.3,  // its neighbours may do so in the next moment
	Overdue:           0.4,  // predictions err, but what is not retriable may wait for it to its deadline
	StaleConnection:   0.25, // a time-out is no failure, but one that closes more than its peers costs what is not retriable
}

// ejectsAtOnce reports whether nothing sent to the replica now would arrive.
func (k FailureKind) ejectsAtOnce() bool { return k == ConnectionRefused || k == Timeout }
