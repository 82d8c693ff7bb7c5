package router

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// The replicas of a simulation: each does the scripted steps and keeps what it saw.

// ending is how a replica goes on after the scripted bytes.
type ending int

const (
	serves  ending = iota // the connection is good for more
	resets                // it ends
	silence               // sends no more
)

// step is what the replicas do with the next request that reaches one of them.
type step struct {
	name   string
	text   func(n int, r *http.Request) string // the answer
	runs   bool                                // the request is run
	read   int                                 // so many bytes of the request are read; 0: all of it
	sent   int                                 // so many bytes of the answer are written; -1: all of it
	ending ending
}

// delivery is what a replica saw of one sending.
type delivery struct {
	replica  string
	at       time.Time
	id       string
	lastID   string
	complete bool // all of the request came
	ran      bool
	rejected bool // a complete response promised that it was not run
	status   int
	seal     string
	body     string
	closed   time.Time // the connection ended
}

// next is the step for the next request.
func (sim *simulation) next() step {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := sim.steps[0]
	if len(sim.steps) > 1 {
		sim.steps = sim.steps[1:]
	}
	return s
}

// replica plays one connection.
func (sim *simulation) replica(addr string, c net.Conn) {
	defer func() { _ = c.Close() }()
	for {
		first := make([]byte, 1)
		if _, err := io.ReadFull(c, first); err != nil {
			return
		}
		d := &delivery{replica: addr, at: time.Now()}
		sim.mu.Lock()
		sim.deliveries = append(sim.deliveries, d)
		number := len(sim.deliveries)
		sim.mu.Unlock()
		goesOn := sim.perform(sim.next(), d, number, c, first)
		if !goesOn {
			sim.mu.Lock()
			d.closed = time.Now()
			sim.mu.Unlock()
			return
		}
	}
}

// perform does one step; false ends the connection.
func (sim *simulation) perform(s step, d *delivery, number int, c net.Conn, first []byte) bool {
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
	require.Equal(sim.t, "four", string(body))
	text := s.text(number, r)
	sim.record(s, d, number, r, text)
	sent := s.sent
	if sent < 0 {
		sent = len(text)
	}
	if _, err := io.WriteString(c, text[:min(sent, len(text))]); err != nil {
		return false
	}
	if s.ending == silence {
		_, _ = io.Copy(io.Discard, c)
	}
	return s.ending == serves
}

// record keeps what a delivery was.
func (sim *simulation) record(s step, d *delivery, number int, r *http.Request, text string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	d.complete, d.ran = true, s.runs
	d.id, d.lastID = r.Header.Get("Attempt-Id"), r.Header.Get("Last-Event-Id")
	d.seal = sealOf(number)
	complete := s.sent < 0 || s.sent >= len(text)
	d.rejected = !s.runs && complete
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
	for i := from + 1; i <= streamEvents; i++ {
		e := fmt.Sprintf("id: %d\nd: x\n\n", i)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	return b.String() + "0\r\n\r\n"
}
