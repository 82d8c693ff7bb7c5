package router

// outcome says how an attempt, or a step of one, left its request. Only request.send, which tries replicas in a loop,
// decides on it; all others hand it on.
type outcome int

const (
	// outcomePending: the attempt goes on.
	outcomePending outcome = iota
	// outcomeAnswered: the client has its answer, or the end of it.
	outcomeAnswered
	// outcomeRetry: the attempt ended without an answer to the client, and another replica may be tried.
	outcomeRetry
)
