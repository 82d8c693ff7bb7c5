package router

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/frontend"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// What follows plays scripted clients and replicas against the real request path (front, router, replica
// connections) over in-memory connections on simulated time, and judges by what both ends saw.

const (
	worldBudget = 2 * time.Second        // Time-Budget-Ms of the clients
	worldSlack  = 250 * time.Millisecond // an answer may come so long after a deadline
	worldEvents = 3                      // events of a whole stream
	worldTries  = 2                      // max_attempts of the routes
)

// noNet has nobody on it: the router under test follows no controller.
type noNet struct{}

// Dial fails.
func (noNet) Dial(string, clock.Span) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }

// Listen fails.
func (noNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// then is how a replica goes on after the scripted bytes.
type then int

const (
	serves  then = iota // the connection is good for more
	resets              // it ends
	silence             // nothing more comes
)

// step is what the replicas do with the next request that reaches one of them.
type step struct {
	name string
	text func(n int, r *http.Request) string // the answer
	runs bool                                // the request is run
	read int                                 // so many bytes of the request are read; 0: all of it
	sent int                                 // so many bytes of the answer are written; -1: all of it
	then then
}

// delivery is what a replica saw of one sending.
type delivery struct {
	replica string
	at      time.Time
	id      string
	lastID  string
	whole   bool // all of the request came
	ran     bool
	refused bool // a whole answer promised that it was not run
	status  int
	seal    string
	body    string
	closed  time.Time // the connection ended
}

// world is one router with its clients and replicas.
type world struct {
	t          *testing.T
	g          *Gate
	front      *frontend.Front
	doors      chan net.Conn
	shut       chan struct{}
	mu         sync.Mutex
	steps      []step
	deliveries []*delivery
	dial       func(far net.Conn) (net.Conn, error) // wraps the router's end; nil: nothing
	pipes      []net.Conn
}

// Accept gives the next client.
func (w *world) Accept() (net.Conn, error) {
	select {
	case c := <-w.doors:
		return c, nil
	case <-w.shut:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (w *world) Close() error { close(w.shut); return nil }

// Addr is no real address.
func (w *world) Addr() net.Addr { return &net.UnixAddr{Name: "test"} }

var worldRoutes = map[string]string{
	"once":   `"route_type":"non_idempotent"`,
	"repeat": `"route_type":"idempotent"`,
	"stream": `"route_type":"streaming","target_gap_ms":100`,
	"resume": `"route_type":"streaming","stream_resume":true,"target_gap_ms":100`,
}

// newWorld makes a router with replicas r1 to r3 that do the steps in turn, and then the last one for ever.
func newWorld(t *testing.T, timeout time.Duration, steps ...step) *world {
	env := &settings.Env{NodeName: "g", Locality: "a", IP: "10.0.0.1", Ports: []int{9000, 9100}, Bounds: settings.Bounds{BudgetRatio: 1, BudgetSlack: 100, BudgetWindowS: 10}, Limits: settings.Limits{MemoryMB: 64}}
	w := &world{t: t, doors: make(chan net.Conn), shut: make(chan struct{}), steps: steps}
	w.g = New(task.New(slog.New(slog.DiscardHandler)), Plan{Env: env, Net: noNet{}, Dialer: w})
	var routes []string
	for name, kind := range worldRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"h","path_prefix":"/%s/","backend_pool":"p","timeout_ms":%d,"target_latency_ms":200,"max_attempts":%d,%s}`,
			name, name, timeout.Milliseconds(), worldTries, kind))
	}
	put := fmt.Sprintf(`{"revision":1,"route_table":[%s],"backend_pools":[{"name":"p","max_connections":4}]}`, strings.Join(routes, ","))
	var replicas []*state.Replica
	for i := range 3 {
		replicas = append(replicas, &state.Replica{ID: fmt.Sprint("r", i+1), Pool: "p", Addr: fmt.Sprint("r", i+1), Locality: "a", State: "ready", Slots: 8})
	}
	for _, e := range []*state.Event{
		{Kind: state.Fleet, Size: 1, Nodes: []string{env.Port(constants.PortGate)}},
		{Kind: state.Put, Body: json.RawMessage(put)},
		{Kind: state.List, Replicas: replicas},
	} {
		w.g.book.Fold(e.Encode())
	}
	require.True(t, w.g.ready.Load())
	w.front = frontend.New(w.g.sc, w, http.HandlerFunc(w.g.serve))
	w.front.Limit(routing.Limits{})
	go w.front.Run()
	return w
}

// end closes everything.
func (w *world) end() {
	w.front.Close()
	w.g.mu.Lock()
	for _, p := range w.g.pools {
		p.Shut()
	}
	w.g.mu.Unlock()
	w.mu.Lock()
	for _, c := range w.pipes {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.g.sc.Stop()
}

// DialReplica connects to a replica.
func (w *world) DialReplica(addr string, _ clock.Span) (net.Conn, error) {
	near, far := net.Pipe()
	w.mu.Lock()
	w.pipes = append(w.pipes, near, far)
	w.mu.Unlock()
	go w.replica(addr, far)
	if w.dial != nil {
		return w.dial(near)
	}
	return near, nil
}

// next is the step for the next request.
func (w *world) next() step {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.steps[0]
	if len(w.steps) > 1 {
		w.steps = w.steps[1:]
	}
	return s
}

// replica plays one connection.
func (w *world) replica(addr string, c net.Conn) {
	defer func() { _ = c.Close() }()
	for {
		first := make([]byte, 1)
		if _, err := io.ReadFull(c, first); err != nil {
			return
		}
		d := &delivery{replica: addr, at: time.Now()}
		w.mu.Lock()
		w.deliveries = append(w.deliveries, d)
		number := len(w.deliveries)
		w.mu.Unlock()
		goesOn := w.perform(w.next(), d, number, c, first)
		if !goesOn {
			w.mu.Lock()
			d.closed = time.Now()
			w.mu.Unlock()
			return
		}
	}
}

// perform does one step; false ends the connection.
func (w *world) perform(s step, d *delivery, number int, c net.Conn, first []byte) bool {
	if s.read > 0 {
		_, _ = io.ReadFull(c, make([]byte, s.read-1))
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(first), c)))
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	require.Equal(w.t, "four", string(body))
	text := s.text(number, r)
	w.note(s, d, number, r, text)
	sent := s.sent
	if sent < 0 {
		sent = len(text)
	}
	if _, err := io.WriteString(c, text[:min(sent, len(text))]); err != nil {
		return false
	}
	if s.then == silence {
		_, _ = io.Copy(io.Discard, c)
	}
	return s.then == serves
}

// note keeps what a delivery was.
func (w *world) note(s step, d *delivery, number int, r *http.Request, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.whole, d.ran = true, s.runs
	d.id, d.lastID = r.Header.Get("Attempt-Id"), r.Header.Get("Last-Event-Id")
	d.seal = sealOf(number)
	complete := s.sent < 0 || s.sent >= len(text)
	d.refused = !s.runs && complete
	if a, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil); err == nil {
		d.status = a.StatusCode
		b, _ := io.ReadAll(a.Body)
		d.body = string(b)
	}
}

func sealOf(number int) string { return fmt.Sprint("s", number) }

// answer makes a step's answer with a length.
func answer(status int, headers string) func(int, *http.Request) string {
	return func(n int, r *http.Request) string {
		body := fmt.Sprint("body of ", n)
		return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt-Id"),
			strings.ReplaceAll(headers, "SEAL", "Replica-Seal: "+sealOf(n)), len(body), body)
	}
}

// events answers with a stream that goes on after Last-Event-Id.
func events(n int, r *http.Request) string {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt-Id"), sealOf(n))
	for i := from + 1; i <= worldEvents; i++ {
		e := fmt.Sprintf("id: %d\nd: x\n\n", i)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	return b.String() + "0\r\n\r\n"
}

// seen is what a client saw.
type seen struct {
	id       string
	status   int
	head     http.Header
	body     string
	complete bool
	took     time.Duration
	silent   bool // the connection ended without an answer
}

// client opens a connection to the front.
func (w *world) client() net.Conn {
	near, far := net.Pipe()
	w.mu.Lock()
	w.pipes = append(w.pipes, near)
	w.mu.Unlock()
	w.doors <- far
	return near
}

func requestText(route, id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nContent-Length: 4\r\n\r\nfour", route, id, worldBudget.Milliseconds())
}

// ask sends one request on a connection and reads what comes.
func (w *world) ask(c net.Conn, br *bufio.Reader, route, id string) seen {
	at := time.Now()
	out := seen{id: id}
	_, err := io.WriteString(c, requestText(route, id))
	if err != nil {
		out.silent = true
		return out
	}
	a, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	out.took = time.Since(at)
	if err != nil {
		out.silent = true
		return out
	}
	b, err := io.ReadAll(a.Body)
	out.status, out.head, out.body, out.complete = a.StatusCode, a.Header, string(b), err == nil
	out.took = time.Since(at)
	return out
}

// judge checks one try by the rules.
func (w *world) judge(route string, got *seen, timeout time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var mine []*delivery
	for _, d := range w.deliveries {
		if d.id == got.id || !d.whole {
			mine = append(mine, d)
		}
	}
	for _, check := range []func(string, *seen, []*delivery) string{judgeSending, judgePromise, judgeSeal, judgeSuccess, judgeStream} {
		if wrong := check(route, got, mine); wrong != "" {
			return wrong
		}
	}
	if got.took > min(timeout, worldBudget)+worldSlack {
		return fmt.Sprint("held too long: ", got.took)
	}
	return ""
}

func repeatable(route string) bool { return route == "repeat" || route == "resume" }

// judgeSending: TWICE and the bound on attempts. Each sending of which a byte came counts.
func judgeSending(route string, _ *seen, ds []*delivery) string {
	if len(ds) > worldTries {
		return "more sendings than max_attempts"
	}
	open := 0
	for _, d := range ds {
		if !d.refused {
			open++
		}
		if !d.refused && d != ds[len(ds)-1] && !repeatable(route) {
			return "sent again though it may have run"
		}
	}
	if open > 1 && !repeatable(route) {
		return "may run twice"
	}
	return ""
}

// judgePromise: REFUSED, held for all kinds of routes.
func judgePromise(_ string, got *seen, ds []*delivery) string {
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		for _, d := range ds {
			if !d.refused {
				return fmt.Sprint("a promise that does not hold: ", got.status)
			}
		}
	}
	return ""
}

// judgeSeal: a seal stands only on the status of the replica that gave it.
func judgeSeal(_ string, got *seen, ds []*delivery) string {
	seal := got.head.Get("Replica-Seal")
	if got.silent || seal == "" {
		return ""
	}
	for _, d := range ds {
		if d.seal == seal && d.status == got.status {
			return ""
		}
	}
	return "a seal on another status"
}

// judgeSuccess: a success is a replica's, with its id and seal, and whole if it looks whole.
func judgeSuccess(route string, got *seen, ds []*delivery) string {
	if got.silent || got.status >= 300 {
		return ""
	}
	if got.head.Get("Attempt-Id") != got.id || got.head.Get("Replica-Seal") == "" {
		return "a success that is nobody's"
	}
	if !got.complete || strings.HasPrefix(got.head.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	for _, d := range ds {
		if d.seal == got.head.Get("Replica-Seal") && d.body == got.body {
			return ""
		}
	}
	return "a success with another body"
}

// judgeStream: ORDER.
func judgeStream(_ string, got *seen, _ []*delivery) string {
	if got.silent || !strings.HasPrefix(got.head.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	whole := ""
	for i := 1; i <= worldEvents; i++ {
		whole += fmt.Sprintf("id: %d\nd: x\n\n", i)
	}
	if !strings.HasPrefix(whole, got.body) {
		return "events missing, twice or of two runs"
	}
	if got.complete && got.body != whole {
		return "a cut stream that looks whole"
	}
	return ""
}

// play runs one request of a route through a world and judges it, and a second one on the same connection
// if that is still there.
func play(t *testing.T, route string, timeout time.Duration, name string, steps ...step) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, timeout, steps...)
		defer w.end()
		c := w.client()
		br := bufio.NewReader(c)
		for _, id := range []string{"first", "second"} {
			got := w.ask(c, br, route, id)
			if wrong := w.judge(route, &got, timeout); wrong != "" {
				t.Fatalf("%s %s, %s: %s: %+v", route, name, id, wrong, got)
			}
			if got.silent || !got.complete {
				return
			}
			w.mu.Lock()
			w.deliveries = nil
			w.mu.Unlock()
		}
	})
}
