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
	replica  string
	at       time.Time
	id       string
	lastID   string
	complete bool // all of the request came
	ran      bool
	refused  bool // a complete response promised that it was not run
	status   int
	seal     string
	body     string
	closed   time.Time // the connection ended
}

// next is the step for the next request.
func (w *simulation) next() step {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.steps[0]
	if len(w.steps) > 1 {
		w.steps = w.steps[1:]
	}
	return s
}

// replica plays one connection.
func (w *simulation) replica(addr string, c net.Conn) {
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
func (w *simulation) perform(s step, d *delivery, number int, c net.Conn, first []byte) bool {
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
	w.record(s, d, number, r, text)
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

// record keeps what a delivery was.
func (w *simulation) record(s step, d *delivery, number int, r *http.Request, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.complete, d.ran = true, s.runs
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
	for i := from + 1; i <= streamEvents; i++ {
		e := fmt.Sprintf("id: %d\nd: x\n\n", i)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	return b.String() + "0\r\n\r\n"
}
