package replicamodel

import "time"

// Spec is one replica's size and speed. All fields but QueueLimit must be positive.
type Spec struct {
	Slots                  int           // requests that run at once
	QueueLimit             int           // requests that may wait beyond them
	StepTime               time.Duration // a batch step with one request in it
	StepTimePerRequest     time.Duration // what every further request adds to it
	PrefillTokensPerSecond float64       // prompt tokens in a second
	ChunkTokens            int           // prompt tokens at most between two tokens of the other requests
	MemoryTokens           int           // that running requests and the cache share
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64 // equal for equal contents
	Tokens int
}

// Job is a request to generate.
type Job struct {
	ID           string
	Parts        []Part
	OutputTokens int // tokens to generate
	Urgency      int // 0 first
}

// promptTokens is the length of the prompt.
func (j *Job) promptTokens() int {
	tokens := 0
	for _, part := range j.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// Token is one generated token.
type Token struct {
	RequestID string
	Number    int // in the request, from 1
	Last      bool
}

// Load is what a replica reports of itself.
type Load struct {
	Active          int   // requests that run
	Queued          int   // requests that wait
	PinnedTokens    int   // in memory, that can't be evicted
	MemoryTokens    int   // in memory, all of them
	PrefilledTokens int64 // prompt tokens since the start
}

// request is a job that waits or runs.
type request struct {
	Job
	sequence    int // order of arrival
	generated   int // tokens
	unprefilled int // prompt tokens still to be prefilled
	path        []*node
}
