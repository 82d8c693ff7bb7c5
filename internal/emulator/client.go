package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/upstream"
)

// maxClientAttempts is how often a client attempts a request within its deadline.
const maxClientAttempts = 4

// Outcomes of a request.
const (
	Served   = "served"  // a complete answer that a replica gave
	Rejected = "refused" // the last answer said that nothing ran
	Failed   = "failed"  // anything else
)

// Headers and values of the protocol that package upstream does not name.
const (
	headerPromptPrefix = "Prompt-Prefix"
	headerTokenCounts  = "Token-Counts"
	headerModel        = "Model"
	headerAccept       = "Accept"
	eventStream        = "text/event-stream"
)

// Result is how one request of a client ended, over all its attempts.
type Result struct {
	AtMs     float64 `json:"at_ms"`
	Kind     string  `json:"kind"`
	Outcome  string  `json:"outcome"`
	Late     bool    `json:"late"`
	Ms       float64 `json:"ms"` // to the complete answer, or to a stream's first event
	GapMs    float64 `json:"gap_ms,omitempty"`
	Attempts int     `json:"tries"`
	Why      string  `json:"why,omitempty"`
}

// clientRequest is one request of a client.
type clientRequest struct {
	traffic    *traffic
	kind       *Kind
	name       string
	body       string
	prefix     string // Prompt-Prefix; empty: none
	sentAt     time.Time
	deadline   time.Time
	events     int // received
	firstEvent time.Time
	lastEvent  time.Time
	longestGap time.Duration // between two events
}

func (t *traffic) newRequest(kind *Kind, number, prefix int) *clientRequest {
	now := time.Now()
	request := &clientRequest{
		traffic:  t,
		kind:     kind,
		name:     fmt.Sprintf("%s.%d", kind.Name, number),
		sentAt:   now,
		deadline: now.Add(durations.FromMilliseconds(kind.TimeoutMs)),
	}
	request.body = "body of " + request.name + strings.Repeat(".", kind.BodyBytes)
	if kind.Prefixes > 0 {
		request.prefix = promptPrefix(kind.TokensIn, number, prefix)
	}
	return request
}

// promptPrefix names a shared part, the first half of the prompt, and one of the
// request alone.
func promptPrefix(tokens, number, prefix int) string {
	sharedID := 0xa000 + prefix
	ownID := 0xf0000000 + uint64(prefix)<<32 + uint64(number)
	shared := tokens / 2
	return fmt.Sprintf("%x:%d,%x:%d", sharedID, shared, ownID, tokens-shared)
}

// attemptResult is what came of one attempt.
type attemptResult struct {
	status int
	retry  bool          // the client may try again
	wait   time.Duration // before it does
	why    string
}

// send sends a request until it is served, fails or is out of attempts.
func (t *traffic) send(ctx context.Context, kind *Kind, number, prefix, router int) Result {
	request := t.newRequest(kind, number, prefix)
	result := Result{
		AtMs:    milliseconds(request.sentAt.Sub(t.start)),
		Kind:    kind.Name,
		Outcome: Failed,
	}
	for result.Attempts < maxClientAttempts {
		result.Attempts++
		next := t.routers[(router+result.Attempts-1)%len(t.routers)]
		attempt := request.sendAttempt(ctx, next, result.Attempts)
		result.Outcome = outcomeOf(attempt.status)
		result.Why = attempt.why
		if result.Outcome == Served {
			result.Why = ""
			break
		}
		if !request.mayRetry(attempt) || !wait.Sleep(ctx, attempt.wait) {
			break
		}
	}
	request.measure(&result)
	return result
}

func outcomeOf(status int) string {
	switch {
	case status == http.StatusOK:
		return Served
	case isRejection(status):
		return Rejected
	}
	return Failed
}

// isRejection reports whether a status says that the request did not run.
func isRejection(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *clientRequest) mayRetry(attempt attemptResult) bool {
	return attempt.retry && time.Until(r.deadline) > attempt.wait
}

// measure fills in the times of a result.
func (r *clientRequest) measure(result *Result) {
	took := time.Since(r.sentAt)
	if !r.firstEvent.IsZero() {
		took = r.firstEvent.Sub(r.sentAt)
		result.GapMs = milliseconds(r.longestGap)
	}
	result.Ms = milliseconds(took)
	slow := result.Ms > r.kind.LatencyTargetMs
	halting := r.kind.Type == typeStreaming && result.GapMs > r.kind.GapMs
	result.Late = result.Outcome == Served && (slow || halting)
}

// sendAttempt sends the request once, with an id of its own.
func (r *clientRequest) sendAttempt(ctx context.Context, router string, number int) attemptResult {
	rules := r.traffic.rules
	id := fmt.Sprintf("%s.%d", r.name, number)
	path := "/" + r.kind.Name + "/" + r.name
	rules.recordSent(id, !r.kind.isIdempotent(), http.MethodPost+" "+path+" "+r.body)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	// The body can't be read a second time, so that the transport repeats nothing.
	body := io.NopCloser(strings.NewReader(r.body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, body)
	if err != nil {
		return attemptResult{why: err.Error()}
	}
	r.setHeaders(request, id)
	client := r.traffic.keeping
	if number > 1 {
		client = r.traffic.fresh
	}
	response, err := client.Do(request)
	if err != nil {
		return r.incomplete(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && r.kind.Type == typeStreaming {
		return r.readStream(id, response)
	}
	return r.readAnswer(id, response)
}

func (r *clientRequest) setHeaders(request *http.Request, id string) {
	left := time.Until(r.deadline).Milliseconds()
	request.ContentLength = int64(len(r.body))
	request.Host = testHost
	request.Header.Set(upstream.HeaderAttemptID, id)
	request.Header.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left), 10))
	if r.prefix != "" {
		request.Header.Set(headerPromptPrefix, r.prefix)
	}
	streaming := r.kind.Type == typeStreaming
	if streaming || r.prefix != "" {
		request.Header.Set(headerModel, defaultModel)
		request.Header.Set(headerTokenCounts, fmt.Sprintf("%d,%d", r.kind.TokensIn, r.kind.TokensOut))
	}
	if !streaming {
		return
	}
	request.Header.Set(headerAccept, eventStream)
	if r.events > 0 {
		request.Header.Set(upstream.HeaderLastEventID, strconv.Itoa(r.events))
	}
}

// incomplete is the result of an attempt without a complete answer.
func (r *clientRequest) incomplete(err error) attemptResult {
	return attemptResult{retry: r.kind.isIdempotent(), wait: pollInterval, why: rootCause(err)}
}

// rootCause is the text of the innermost error.
func rootCause(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// readAnswer takes an answer that is no stream.
func (r *clientRequest) readAnswer(id string, response *http.Response) attemptResult {
	rules := r.traffic.rules
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return r.incomplete(err)
	}
	status := response.StatusCode
	if status == http.StatusOK {
		rules.checkSuccess(id, response.Header.Get(upstream.HeaderSeal), string(body) == answerTo(id))
		return attemptResult{status: status}
	}
	if isRejection(status) {
		rules.checkRejection(id)
		return attemptResult{status: status, retry: true, wait: r.waitAfter(response), why: response.Status}
	}
	retry := r.kind.isIdempotent() && status >= http.StatusInternalServerError
	return attemptResult{status: status, retry: retry, wait: pollInterval, why: response.Status}
}

// waitAfter is how long the client waits after a rejection: as long as the answer says,
// but not over a third of the time it has.
func (r *clientRequest) waitAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return pollInterval
	}
	return min(durations.FromSeconds(seconds), time.Until(r.deadline)/3)
}
