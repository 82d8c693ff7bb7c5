package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// request is what the judge knows of one attempt of a client.
type request struct {
	id       string
	content  string // method, target and body as they were sent
	once     bool   // it may run once
	route    *route // nil if no configuration allows it
	router   string // the process that took it
	subject  string // the last shared part of its prompt
	budget   time.Duration
	sentAt   time.Time
	offered  bool            // a replica has seen it
	runs     int             // how often it ran
	ranOn    map[string]bool // replicas that ran it
	sealed   map[int]bool    // statuses that replicas sealed for it
	events   int             // of the stream that a replica gave; 0: of usual length
	brokeOff bool            // a replica broke its answer off or gave none
}

// register registers a request before it is sent.
func (sim *Simulation) register(r *request) {
	r.ranOn = map[string]bool{}
	r.sealed = map[int]bool{}
	r.sentAt = time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.requests[r.id] = r
}

// newRequest makes the next request for a path and registers it.
func (sim *Simulation) newRequest(ask clientRequest) (r *request, body string) {
	sim.mu.Lock()
	sim.requestsMade++
	id := fmt.Sprintf("q%d", sim.requestsMade)
	rt := sim.routeOf(ask.path)
	sim.mu.Unlock()
	body = "body of " + id + strings.Repeat(".", ask.size)
	r = &request{
		id:      id,
		content: http.MethodPost + " " + ask.path + " " + body,
		once:    ask.once,
		route:   rt,
		router:  ask.router,
		subject: subjectOf(ask.prefix),
		budget:  ask.budget,
	}
	sim.register(r)
	return r, body
}

// subjectOf is the last part of a prompt that other requests share: the one before the request's own.
func subjectOf(prefix string) string {
	parts := strings.Split(prefix, ",")
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2]
}

// exchange is a request with how it ended for the client.
type exchange struct {
	*request
	status  int // 0: no complete answer
	header  http.Header
	body    string
	endedAt time.Time
	gaveUp  bool // the client's own time ran out
}

func (x *exchange) took() time.Duration { return x.endedAt.Sub(x.sentAt) }

func (x *exchange) served() bool { return x.status == http.StatusOK }

// isRejection reports whether the answer says that nothing ran.
func (x *exchange) isRejection() bool {
	switch x.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
