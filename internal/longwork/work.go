package longwork

import (
	"context"
	"errors"
	"time"

	"shaletrestle/coord/handoff"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
)

// ErrNoCapacity is the error of Work.Enter when a request could not be admitted in its time.
var ErrNoCapacity = errors.New("no capacity for long work")

// Request is what long work knows of a request.
type Request struct {
	ID          string // Attempt-Id, for the log
	Service     string
	Route       *routing.Route
	ArrivedAt   time.Time
	RejectAfter time.Time     // a request that could be sent nowhere is rejected then
	Deadline    time.Time     // the response must be with the client by then
	ReturnTime  time.Duration // taken off the deadline of an offer, for the response's way back
	ForPeer     bool          // another router owns it
}

// Work is the stay of one long request, from Begin to Close. Its methods are to be called by the request's own goroutine.
type Work struct {
	coordinator *Coordinator
	request     Request
	admitted    bool
}

// IsLong reports whether a request of a route is long work for a service with an engine, given the tokens of its prompt and
// of its response; 0 if they are not known.
func (c *Coordinator) IsLong(route *routing.Route, engine *routing.Engine, promptTokens, outputTokens int) bool {
	configured := c.router.Settings().LongWork
	thresholds := handoff.Thresholds{Patient: configured.PatientTargets, Heavy: configured.HeavyTargets}
	return thresholds.IsLong(handoff.Demand{
		Stream:         route.Kind == routing.Streaming,
		LatencyTarget:  route.LatencyTarget,
		Timeout:        route.Timeout,
		EventGapTarget: route.EventGapTarget,
		TokensPerEvent: engine.Stride,
		PromptTokens:   promptTokens,
		OutputTokens:   outputTokens,
		PerToken:       placement.InitialPrefillPerToken,
	})
}

// Begin takes a long request in. The caller must Close the work, and before it runs the request itself, Enter.
func (c *Coordinator) Begin(request Request) *Work {
	work := &Work{coordinator: c, request: request}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[work] = struct{}{}
	return work
}

// Close ends the request's part in the long work.
func (w *Work) Close() {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, w)
	if !w.admitted {
		return
	}
	queue := c.queue(w.request.Service)
	queue.admission.Release()
	c.admit(queue)
}

// Enter waits shortly for admission to the long work that runs here. wasSent says that the request was sent before: it is
// admitted in any case. The error is ErrNoCapacity, or the context's if that ends first.
func (w *Work) Enter(ctx context.Context, wasSent bool) error {
	admitted, waiter := w.join(wasSent)
	if waiter != nil {
		select {
		case admitted = <-waiter.admitted:
		case <-ctx.Done():
			w.coordinator.leaveQueue(waiter)
			return ctx.Err()
		}
	}
	w.recordEntry(admitted)
	if !admitted {
		return ErrNoCapacity
	}
	return nil
}

// join asks for admission: the request is admitted, has to wait, or is rejected. One that another router owns does not
// wait, because its owner does.
func (w *Work) join(wasSent bool) (admitted bool, waiting *waiter) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queue(w.request.Service)
	until := c.now() + min(time.Until(w.request.RejectAfter), time.Until(w.request.Deadline))
	if wasSent {
		queue.admission.Enter()
		return true, nil
	}
	number, admitted, ok := queue.admission.Join(until, queue.idle())
	if !ok || admitted {
		return ok, nil
	}
	if w.request.ForPeer {
		queue.admission.Leave(number)
		return false, nil
	}
	waiting = &waiter{queue: queue, number: number, admitted: make(chan bool, 1)}
	queue.waiters[number] = waiting.admitted
	c.wake()
	return false, waiting
}

// recordEntry counts the end of an admission.
func (w *Work) recordEntry(admitted bool) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if !admitted {
		c.counters.rejected++
		return
	}
	if !w.request.ForPeer {
		c.counters.here++
	}
	w.admitted = true
}
