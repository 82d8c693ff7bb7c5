package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// The clients of a simulation: they send requests to the front and keep what they saw.

// received is what a client got.
type received struct {
	id       string
	status   int
	head     http.Header
	body     string
	complete bool
	took     time.Duration
	silent   bool // the connection ended without an answer
}

// client opens a connection to the front.
func (sim *simulation) client() net.Conn {
	near, far := net.Pipe()
	sim.mu.Lock()
	sim.pipes = append(sim.pipes, near)
	sim.mu.Unlock()
	sim.clients <- far
	return near
}

func requestText(route, id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nContent-Length: 4\r\n\r\nfour", route, id, clientTimeBudget.Milliseconds())
}

// ask sends one request on a connection and reads what comes.
func (sim *simulation) ask(c net.Conn, br *bufio.Reader, route, id string) received {
	at := time.Now()
	out := received{id: id}
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

// play runs one request of a route through a simulation and judges it, and a second one on the same connection
// if that is still there.
func play(t *testing.T, route string, timeout time.Duration, name string, steps ...step) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, timeout, steps...)
		defer sim.end()
		c := sim.client()
		br := bufio.NewReader(c)
		for _, id := range []string{"first", "second"} {
			got := sim.ask(c, br, route, id)
			if wrong := sim.judge(route, &got, timeout); wrong != "" {
				t.Fatalf("%s %s, %s: %s: %+v", route, name, id, wrong, got)
			}
			if got.silent || !got.complete {
				return
			}
			sim.mu.Lock()
			sim.deliveries = nil
			sim.mu.Unlock()
		}
	})
}
