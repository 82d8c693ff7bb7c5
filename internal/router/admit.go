package router

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/upstream"
)

const (
	// defaultClientTimeout is that of a request that names none.
	defaultClientTimeout = 30 * time.Second
	// maxClientTimeout bounds the time that a request may name.
	maxClientTimeout = 24 * defaultClientTimeout
	// maxClientTimeoutMs bounds the number before it is converted, so that it fits into a Duration: a day, in ms.
	maxClientTimeoutMs = 24 * 3600 * 1e3
	// rejectFraction is the part of the latency target up to which a request that could be sent nowhere is rejected.
	rejectFraction = 0.2
	// responseReserve is taken off Time-Budget-Ms for the way of a response back.
	responseReserve = 15 * time.Millisecond
	// maxTokenCount bounds the numbers in Token-Counts.
	maxTokenCount = 1 << 28
)

// setDeadline reads the attempt's id and sets its deadline: the client's or the route's, whichever is sooner.
func (req *request) setDeadline() {
	req.id = req.inbound.Header.Get(upstream.HeaderAttemptID)
	req.deadline = req.arrived.Add(min(clientTimeout(req.inbound.Header), req.route.Timeout))
}

// clientTimeout is how long a client says that it waits.
func clientTimeout(header http.Header) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(header.Get(upstream.HeaderTimeBudget)), 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return defaultClientTimeout
	}
	return min(durations.FromMilliseconds(min(ms, maxClientTimeoutMs)), maxClientTimeout)
}

// rejectAfter is when a request that could be sent nowhere is rejected.
func (req *request) rejectAfter() time.Time {
	return req.arrived.Add(time.Duration(float64(req.route.LatencyTarget) * rejectFraction))
}

// chooseService chooses the service of a weighted route and says what the request wants of a replica; false if it was
// answered.
func (req *request) chooseService() bool {
	parts := prefixindex.ParseParts(req.inbound.Header.Get("Prompt-Prefix"))
	name := req.route.ChooseService(req.affinityKey(parts))
	req.service = req.table.Pools[name]
	if req.service == nil {
		req.reject(errkind.Unavailable, "the service is not configured")
		return false
	}
	req.header = forwardHeader(req.inbound.Header)
	req.wanted = &placement.Request{
		Pool:      name,
		Zone:      req.router.settings.Load().Zone,
		Excluded:  map[string]bool{},
		Retriable: req.route.IsRetriable() && req.route.MaxAttempts > 1,
		WarmupRate: func(id string) float64 {
			return req.router.warmupShares.Load().rate(req.service.WarmupPerSecond, id)
		},
	}
	req.describePrompt(parts)
	if !req.forPeer {
		req.router.budget.RecordRequest(name)
	}
	return true
}

// affinityKey is what a weighted route chooses a service by: the conversation, as far as the prompt shows one and the route
// asks for it, else the attempt.
func (req *request) affinityKey(parts []prefixindex.Part) string {
	if !req.route.SessionAffinity || len(parts) == 0 {
		return req.id
	}
	key := ""
	for _, part := range parts[:max(1, len(parts)-1)] {
		key += strconv.FormatUint(part.ID, 16) + ","
	}
	return key
}

// describePrompt adds what the choice of a model replica depends on.
func (req *request) describePrompt(parts []prefixindex.Part) {
	engine := req.service.Engine
	if engine == nil {
		return
	}
	model := req.inbound.Header.Get("Model")
	promptTokens, outputTokens := tokenCounts(req.inbound.Header.Get("Token-Counts"))
	if len(parts) == 0 { // a prompt that nobody else has
		parts = []prefixindex.Part{{ID: uint64(req.arrived.UnixNano()), Tokens: promptTokens}}
	}
	revision := req.router.revisions.Load().of(req.service.Name, model)
	req.wanted.Chain = prefixindex.NewChain(prefixindex.RootKey(model, revision), parts)
	req.wanted.CapacityTokens = int(engine.KVCapacityTokens)
	req.wanted.MaxOutputTokens = outputTokens
	req.wanted.LatencyTarget = req.route.LatencyTarget
}

// tokenCounts reads the tokens of a prompt and of its response from Token-Counts; 0 for what isn't there.
func tokenCounts(header string) (prompt, output int) {
	first, second, _ := strings.Cut(header, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	output, _ = strconv.Atoi(strings.TrimSpace(second))
	return min(max(prompt, 0), maxTokenCount), min(max(output, 0), maxTokenCount)
}

// isLongWork reports whether the request is long work here.
func (req *request) isLongWork() bool {
	if !req.router.longWork.Enabled() || req.service.Engine == nil {
		return false
	}
	promptTokens, outputTokens := tokenCounts(req.inbound.Header.Get("Token-Counts"))
	return req.router.longWork.IsLong(req.route, req.service.Engine, promptTokens, outputTokens)
}

// admitLongWork lets a peer run the request if this router is overloaded, or admits it among the long work that runs
// here. outcomeRetry: it may be sent to replicas.
func (req *request) admitLongWork() outcome {
	req.work = req.router.longWork.Begin(longwork.Request{
		ID:          req.id,
		Service:     req.wanted.Pool,
		Route:       req.route,
		ArrivedAt:   req.arrived,
		RejectAfter: req.rejectAfter(),
		Deadline:    req.deadline,
		ReturnTime:  responseReserve,
		ForPeer:     req.forPeer,
	})
	if offer := req.work.Offer(req.pack); offer != nil {
		if out := req.followOffer(offer); out == outcomeAnswered {
			return out
		}
	}
	err := req.work.Enter(req.inbound.Context(), req.history.Sends() > 0)
	switch {
	case err == nil:
		return outcomeRetry
	case errors.Is(err, longwork.ErrNoCapacity):
		req.fail(errkind.Overloaded, "no place for long work")
	default:
		req.abort()
	}
	return outcomeAnswered
}
