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

// Headers of the protocol with replicas.
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

// Errors of Send that say nothing of the replica.
var (
	// ErrTooLate says that Request.NotAfter had passed before the first byte was written.
	ErrTooLate = errors.New("too late to be sent")
	// ErrSameAttempt says that the connection carried a request of the same Attempt-Id before: a surplus response to
	// that one could be taken for the response to this one.
	ErrSameAttempt = errors.New("the connection has answered this Attempt-Id before")
)

// Request is a client's request as it is sent to one replica.
type Request struct {
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	Events    bool      // the response is a stream of events
	NotAfter  time.Time // no first byte leaves from then on
	Deadline  time.Time // writing ends
	MaxEvents int       // of a stream; 0: not known
}

// exchange is one request on a connection and the response to it.
type exchange struct {
	request   *Request
	http      *http.Request
	parts     chan Part
	account   *account
	pacer     *pacer
	isStream  bool          // the response is read event by event
	ahead     atomic.Int64  // bytes of parts that the caller has not done with
	done      chan struct{} // a token when the caller has done with a part
	abandoned chan struct{} // closed when nobody wants the response any more
}

// abandon ends the interest in the response.
func (x *exchange) abandon() {
	close(x.abandoned)
	x.account.end()
}

// partsAhead is how many parts the reader of a connection may be ahead of whoever relays them.
const partsAhead = 32

// abandonedExchange stands for an exchange whose response nobody wants any more.
var abandonedExchange = &exchange{}

// Connection is one connection to a replica. It carries one exchange at a time. Whoever got it from the pool writes; its
// own goroutine reads, and ends with the connection.
type Connection struct {
	pool       *Pool
	conn       net.Conn
	exchange   atomic.Pointer[exchange] // nil while it is idle
	start      chan *exchange
	written    chan struct{} // a token for each request that was written completely
	closed     chan struct{}
	isClosed   atomic.Bool
	idleSince  time.Time
	idleBefore time.Duration // how long it was idle before this use, 0 for a new one; guarded by the pool's lock
	expires    time.Time
	owner      string // who uses it now; guarded by the pool's lock
	used       bool   // it has carried an exchange to its end
	lastID     string // the Attempt-Id of that one
}

// open makes a connection of a pool and starts its reader.
func open(p *Pool, c net.Conn, owner string) *Connection {
	connection := &Connection{
		pool:    p,
		owner:   owner,
		conn:    c,
		start:   make(chan *exchange, 1),
		written: make(chan struct{}, 1),
		closed:  make(chan struct{}),
		expires: time.Now().Add(defaultIdleTime),
	}
	go connection.read()
	return connection
}

// WasStale reports whether a connection that was reset when it was reused had been dropped by the replica while it was
// idle, as far as the idle time shows. The pool learns from it.
func (c *Connection) WasStale() bool {
	return c.idleBefore >= minStaleIdle && c.pool.recordStale(c.idleBefore)
}

// MarkUncertain closes the idle connections beside this one: after silence they are uncertain too, and the next request
// dials before it sends.
func (c *Connection) MarkUncertain() { c.pool.closeIdle() }

// Release returns a connection that was not used to its pool.
func (c *Connection) Release() {
	if !c.pool.put(c) {
		c.Close()
	}
}

// Close closes the connection. It may be called more than once, and concurrently.
func (c *Connection) Close() {
	if c.isClosed.CompareAndSwap(false, true) {
		close(c.closed)
		_ = c.conn.Close()
		c.pool.remove(c)
	}
}

// attemptWriter writes the bytes of one request and tracks how much of it left. It reads the clock immediately
// before the first of them, so that a caller that was delayed until then sends nothing too late.
type attemptWriter struct {
	conn     net.Conn
	notAfter time.Time
	state    attempt.State
}

// Write sends bytes; ErrTooLate if the first of them would leave too late.
func (w *attemptWriter) Write(b []byte) (int, error) {
	if w.state == attempt.NotSent && time.Until(w.notAfter) <= 0 {
		return 0, ErrTooLate
	}
	n, err := w.conn.Write(b)
	if n > 0 {
		w.state = attempt.PartlySent
	}
	return n, err
}

// Send writes a request. The state says how much of it left: with an error it is NotSent or PartlySent, else Sent. The
// caller must Close the response.
func (c *Connection) Send(request *Request) (*Response, attempt.State, error) {
	if c.used && c.lastID == request.AttemptID {
		c.Close()
		return nil, attempt.NotSent, ErrSameAttempt
	}
	x := &exchange{
		request:   request,
		http:      request.http(),
		parts:     make(chan Part, partsAhead),
		pacer:     &c.pool.pacer,
		account:   &account{memory: c.pool.memory, replica: c.pool.replica},
		done:      make(chan struct{}, 1),
		abandoned: make(chan struct{}),
	}
	c.exchange.Store(x)
	select {
	case <-c.closed:
		x.abandon()
		return nil, attempt.NotSent, net.ErrClosed
	default:
	}
	c.start <- x
	_ = c.conn.SetWriteDeadline(request.Deadline)
	out := &attemptWriter{conn: c.conn, notAfter: request.NotAfter}
	w := bufio.NewWriterSize(out, 4<<10)
	err := x.http.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.Close()
		x.abandon()
		return nil, out.state, err
	}
	c.written <- struct{}{}
	return &Response{connection: c, exchange: x}, attempt.Sent, nil
}

// http returns the request as the standard library writes it.
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
