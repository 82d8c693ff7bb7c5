package router

import (
	"math"
	"sync"
	"time"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/routing"
)

const (
	// paceGain and paceDeviationGain are the weights of a new observation in the smoothed pace and in its deviation, as of
	// round-trip times in TCP (RFC 6298).
	paceGain          = 1.0 / 8
	paceDeviationGain = 1.0 / 4
	// paceDeviations is how many deviations slower than usual a stream is expected to be, as in the same place.
	paceDeviations = 4
)

// pace is how long streams of one service take for each token of their answer, in seconds.
type pace struct {
	smoothed  float64
	deviation float64
}

// observe takes one stream.
func (p *pace) observe(secondsPerToken float64) {
	if p.smoothed == 0 {
		p.smoothed, p.deviation = secondsPerToken, secondsPerToken/2
		return
	}
	p.deviation += paceDeviationGain * (math.Abs(secondsPerToken-p.smoothed) - p.deviation)
	p.smoothed += paceGain * (secondsPerToken - p.smoothed)
}

// streamPaces learns how long streams take from their first event to their end, by service. Its zero value has seen none.
// It is safe for concurrent use.
type streamPaces struct {
	mu    sync.Mutex
	paces map[string]*pace // by service; guarded by mu
}

// observe takes a stream that has ended as complete.
func (s *streamPaces) observe(service string, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paces == nil {
		s.paces = map[string]*pace{}
	}
	known := s.paces[service]
	if known == nil {
		known = &pace{}
		s.paces[service] = known
	}
	known.observe(took.Seconds() / float64(max(1, tokens)))
}

// predict is how long a stream is expected to take from its first event to its end; zero if none was seen yet.
func (s *streamPaces) predict(service string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.paces[service]
	if known == nil {
		return 0
	}
	perToken := known.smoothed + paceDeviations*known.deviation
	return durations.FromSeconds(perToken * float64(max(1, tokens)))
}

// retain forgets the services that a configuration no longer has.
func (s *streamPaces) retain(services map[string]*routing.Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.paces {
		if services[name] == nil {
			delete(s.paces, name)
		}
	}
}

// recordPace learns from a stream that has ended as complete. One that was resumed counts with its interruption.
func (req *request) recordPace() {
	req.router.paces.observe(req.wanted.Pool, req.wanted.MaxOutputTokens, time.Since(req.firstByteAt))
}

// endsBeforeShutdown reports whether a request is expected to end before this router does. A stream that would be cut off
// is better rejected before it runs, so that its client goes to another router at once.
func (req *request) endsBeforeShutdown(choice placement.Choice) bool {
	end := req.router.endsAt.Load()
	if end.IsZero() || req.route.Kind != routing.Streaming {
		return true
	}
	expected := req.router.paces.predict(req.wanted.Pool, req.wanted.MaxOutputTokens)
	return expected == 0 || time.Now().Add(choice.PredictedTTFT+expected).Before(end)
}
