// Package upstream talks to replicas over connections that it owns. A task reads each socket; whoever
// holds the connection writes. Nothing is ever sent twice by itself.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/attempt"
)

// Wire names of the headers that matter here.
const (
	HeaderAttemptID       = "Attempt-Id"
	HeaderSeal            = "Replica-Seal"
	HeaderNotExecuted     = "Not-Executed"
	HeaderTimeBudget      = "Time-Budget-Ms"
	HeaderExpectedReplica = "Expected-Replica"
	HeaderLoad            = "Replica-Load"
	HeaderLastEventID     = "Last-Event-Id"
	HeaderUrgency         = "Urgency-Class"
)

// Reasons for which a request was not sent that say nothing of the replica.
var (
	// ErrTooLate: the time up to which the request might begin to be sent had passed.
	ErrTooLate = errors.New("too late to be sent")
	// ErrSameAttempt: the connection carried a request of the same Attempt-Id before, so that a surplus
	// answer to that one could be taken for the answer to this one.
	ErrSameAttempt = errors.New("the connection has answered this Attempt-Id before")
)

// ErrAbandoned ends a wait for a connection whose caller is gone.
var ErrAbandoned = errors.New("nobody wants it any more")

// Request is one sending of a client's request to a replica.
type Request struct {
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	Events    bool      // the answer is a stream of events
	NotAfter  time.Time // no first byte leaves from then on
	Deadline  time.Time // writing ends
}

// exchange is one request on a connection and the answer to it.
type exchange struct {
	request *Request
	http    *http.Request
	parts   chan Part
	quit    chan struct{} // closed when nobody wants the answer any more
}

// abandoned stands in a connection's place for an exchange whose answer nobody wants any more.
var abandoned = &exchange{}

// Connection is one connection to a replica. It carries one exchange at a time.
type Connection struct {
	pool     *Pool
	conn     net.Conn
	exchange atomic.Pointer[exchange] // nil while it is idle
	start    chan *exchange
	written  chan struct{} // a token for each request that was written whole
	dead     chan struct{}
	killed   atomic.Bool
	idle     time.Time
	rested   time.Duration // how long it was idle before this use, 0 for a new one; set while the pool is held
	expires  time.Time
	owner    string // who uses it now; guarded by the pool
	used     bool   // it has carried an exchange to its end
	lastID   string // the Attempt-Id of that one
}

func open(p *Pool, c net.Conn, owner string) *Connection {
	connection := &Connection{
		pool:    p,
		owner:   owner,
		conn:    c,
		start:   make(chan *exchange, 1),
		written: make(chan struct{}, 1),
		dead:    make(chan struct{}),
		expires: time.Now().Add(keepIdle),
	}
	go connection.read()
	return connection
}

// WasStale tells whether a connection that was reset when it was used again had been forgotten by the
// replica, as far as the idle time says; it is learned from.
func (c *Connection) WasStale() bool {
	return c.rested >= forgotIdle && c.pool.forgot(c.rested)
}

// MarkUncertain closes the idle connections beside this one: after silence they are in doubt too, and the next
// request dials before it sends.
func (c *Connection) MarkUncertain() { c.pool.flush() }

// Release returns a connection that was got and not used.
func (c *Connection) Release() {
	if !c.pool.put(c) {
		c.Close()
	}
}

// Close closes the connection.
func (c *Connection) Close() {
	if c.killed.CompareAndSwap(false, true) {
		close(c.dead)
		_ = c.conn.Close()
		c.pool.gone(c)
	}
}

// sending writes the bytes of one request and keeps what is known of it. It looks at the clock right
// before the first of them, whatever was waited for till then.
type sending struct {
	conn     net.Conn
	notAfter time.Time
	state    attempt.State
}

// Write sends bytes.
func (s *sending) Write(b []byte) (int, error) {
	if s.state == attempt.NotSent && time.Until(s.notAfter) <= 0 {
		return 0, ErrTooLate
	}
	n, err := s.conn.Write(b)
	if n > 0 {
		s.state = attempt.PartlySent
	}
	return n, err
}

// Send writes a request. The state tells what left: with an error it is NotSent or PartlySent, else Sent.
func (c *Connection) Send(request *Request) (*Response, attempt.State, error) {
	if c.used && c.lastID == request.AttemptID {
		c.Close()
		return nil, attempt.NotSent, ErrSameAttempt
	}
	x := &exchange{request: request, http: request.http(), parts: make(chan Part, 32), quit: make(chan struct{})}
	c.exchange.Store(x)
	select {
	case <-c.dead:
		return nil, attempt.NotSent, net.ErrClosed
	default:
	}
	c.start <- x
	_ = c.conn.SetWriteDeadline(request.Deadline)
	out := &sending{conn: c.conn, notAfter: request.NotAfter}
	w := bufio.NewWriterSize(out, 4<<10)
	err := x.http.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.Close()
		return nil, out.state, err
	}
	c.written <- struct{}{}
	return &Response{connection: c, exchange: x}, attempt.Sent, nil
}

// http is the request as the standard library writes it.
func (r *Request) http() *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           RequestURL(r.Target),
		Host:          r.Host,
		Header:        r.Header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
	}
	switch {
	case len(r.Body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		out.Body = http.NoBody
	}
	return out
}
