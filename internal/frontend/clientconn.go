package frontend

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/atomic"
)

const (
	// watchBufferBytes is how much is read at once while a request is served; nothing comes then, as a rule.
	watchBufferBytes = 64
	// aheadReadBytes is how much is read at once when something does come.
	aheadReadBytes = 4 << 10
	// connectionAheadLimit bounds what a connection keeps of what its client sent behind the request that is served.
	connectionAheadLimit = 128 << 10
	// totalAheadLimit bounds the same for all connections of a server together.
	totalAheadLimit = 4 << 20
)

// clientConn is a client's connection, and the only reader of its bytes. It hands net/http one request at a time: the bytes
// behind it are kept until it has been served. So the framing that it sees is that of the request being served, and
// the end of the connection is seen meanwhile although the client has sent more. It closes itself when it has been idle
// too long.
//
// net/http calls Read from one goroutine at a time; all else may be called concurrently.
type clientConn struct {
	net.Conn
	limits func() *connLimits // those in force now
	ahead  *atomic.Int64      // bytes kept by all connections of the server

	watchBuffer  [watchBufferBytes]byte // of Read
	closed       chan struct{}
	closeOnce    sync.Once
	readDeadline chan time.Time // the newest one that was set and not yet looked at; holds one

	mu        sync.Mutex // guards the fields below
	framing   framing
	kept      []byte // read and not handed out yet
	isClosed  bool
	idle      bool // between two requests
	idleSince time.Time
	idleTimer *time.Timer // nil before the connection was idle first
	headSince time.Time   // when the head that is being read began, or the connection; zero: none is
	headTimer *time.Timer
}

// newClientConn wraps an accepted connection.
func newClientConn(conn net.Conn, limits func() *connLimits, ahead *atomic.Int64) *clientConn {
	c := &clientConn{
		Conn:         conn,
		limits:       limits,
		ahead:        ahead,
		closed:       make(chan struct{}),
		readDeadline: make(chan time.Time, 1),
		headSince:    time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headTimer = time.AfterFunc(limits().headTimeout, c.closeSlowHead)
	return c
}

// Read gives the next bytes of the present request. Once all of it was given, it gives none until the connection is idle
// again (setState), but reads on to see the connection's end.
func (c *clientConn) Read(buffer []byte) (int, error) {
	for {
		n, complete, err := c.handOut(buffer)
		if n > 0 || err != nil {
			return c.answerTooLarge(n, err)
		}
		if complete {
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		n, err = c.Conn.Read(buffer)
		if n == 0 || err != nil {
			return n, err
		}
		return c.answerTooLarge(c.takeIn(buffer[:n]))
	}
}

// handOut gives what was kept of the present request, and reports whether the request is complete. A connection that was
// closed gives nothing.
func (c *clientConn) handOut(buffer []byte) (n int, complete bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, false, net.ErrClosed
	}
	if c.framing.state == messageComplete {
		return 0, true, nil
	}
	n = copy(buffer, c.kept)
	if n > 0 {
		n = c.framing.advance(buffer[:n])
		c.drop(n)
		c.endIdle()
		err = c.checkHead()
	}
	return n, false, err
}

// drop forgets bytes that were handed out; the caller holds the lock.
func (c *clientConn) drop(n int) {
	c.ahead.Sub(int64(n))
	c.kept = c.kept[n:]
	if len(c.kept) == 0 {
		c.kept = nil
	}
}

// takeIn takes bytes that are in the reader's buffer already, and keeps those behind the present request. From the first of
// them on the connection is not idle; those of a connection that was closed before are not given away.
func (c *clientConn) takeIn(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	c.endIdle()
	n := c.framing.advance(data)
	c.keep(data[n:])
	return n, c.checkHead()
}

// keep keeps bytes for the next request, unless the connection was closed; the caller holds the lock.
func (c *clientConn) keep(data []byte) {
	if len(data) > 0 && !c.isClosed {
		c.kept = append(c.kept, data...)
		c.ahead.Add(int64(len(data)))
	}
}

// readAhead reads what comes behind a complete request, and keeps it. It returns without an error when something came or the
// connection may be idle again.
func (c *clientConn) readAhead() error {
	c.mu.Lock()
	full := len(c.kept) >= connectionAheadLimit || c.ahead.Load() >= totalAheadLimit
	buffer := c.watchBuffer[:]
	if len(c.kept) > 0 {
		buffer = make([]byte, aheadReadBytes)
	}
	c.mu.Unlock()
	if full {
		return c.awaitDeadline()
	}
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	c.keep(buffer[:n])
	c.mu.Unlock()
	return err
}

// awaitDeadline waits, where no more may be kept, until the read is aborted or the connection closed.
func (c *clientConn) awaitDeadline() error {
	var passed <-chan time.Time
	for {
		select {
		case deadline := <-c.readDeadline:
			passed = nil
			if !deadline.IsZero() {
				passed = time.After(time.Until(deadline))
			}
		case <-passed:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// SetReadDeadline bounds Read. net/http aborts a Read by a deadline in the past.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	select { // only the newest one is kept
	case <-c.readDeadline:
	default:
	}
	select {
	case c.readDeadline <- deadline:
	default:
	}
	return c.Conn.SetReadDeadline(deadline)
}

// ambiguous reports whether the body of the present request could be delimited in two ways.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ambiguous()
}

// setState follows what http.Server reports of the connection.
func (c *clientConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateIdle {
		c.endIdle()
		return
	}
	c.endRequest()
	c.idle, c.idleSince = true, time.Now()
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.limits().idleTimeout, c.closeIdle)
		return
	}
	c.idleTimer.Reset(c.limits().idleTimeout)
}

// endRequest lets the next request be handed out. Where the framing of the present one was not known, it stays so: where the
// next one begins is not known then either. The caller holds the lock.
func (c *clientConn) endRequest() {
	if c.framing.state == messageComplete {
		c.framing.reset()
	}
}

// endIdle ends an idle time; the caller holds the lock.
func (c *clientConn) endIdle() {
	if c.idle {
		c.idle = false
		c.idleTimer.Stop()
	}
}

// closeIdle closes a connection that has been idle for as long as the limit now in force allows. What is read after that was
// decided here is given to nobody.
func (c *clientConn) closeIdle() {
	c.mu.Lock()
	left := c.limits().idleTimeout - time.Since(c.idleSince)
	if !c.idle || left > 0 {
		if c.idle {
			c.idleTimer.Reset(left)
		}
		c.mu.Unlock()
		return
	}
	c.idle, c.isClosed = false, true
	c.mu.Unlock()
	_ = c.Close()
}

// wasClosed reports whether the connection was closed from this side.
func (c *clientConn) wasClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed
}

// Close ends the connection and its timer.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.endIdle()
	c.headTimer.Stop()
	c.isClosed = true
	c.drop(len(c.kept))
	c.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
