package frontend

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// headLimit bounds the bytes of a request's head that a connection keeps. It bounds memory only: a longer head is served,
// unless its body is chunked (see ambiguous).
const headLimit = 4 << 10

var headEnd = []byte("\r\n\r\n")

// clientConn is a client's connection. It keeps the head of the request that is being read, so that ambiguous framing
// can be seen as it was sent (net/http resolves it silently), and closes itself when it has been idle too long.
type clientConn struct {
	net.Conn
	idleTimeout func() time.Duration // the limit in force now

	mu           sync.Mutex // guards the fields below
	head         []byte
	headComplete bool // what follows is body and isn't retained
	idle         bool // between two requests
	idleSince    time.Time
	idleTimer    *time.Timer // nil before the connection was idle first
}

// Read reads from the client and keeps what belongs to the head.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	if n > 0 {
		c.endIdle()
	}
	if retained := min(n, headLimit-len(c.head)); retained > 0 && !c.headComplete {
		if i := bytes.Index(buffer[:retained], headEnd); i >= 0 {
			retained = i + len(headEnd)
		}
		from := max(0, len(c.head)-len(headEnd)+1) // the end may have come in two reads
		c.head = append(c.head, buffer[:retained]...)
		c.headComplete = bytes.Contains(c.head[from:], headEnd)
	}
	c.mu.Unlock()
	return n, err
}

// reset forgets the head of a request that has been served.
func (c *clientConn) reset() {
	c.mu.Lock()
	c.head, c.headComplete = c.head[:0], false
	c.mu.Unlock()
}

// ambiguous reports whether the head of a chunked request also names a length, or was too long to be retained.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, complete := strings.Cut(strings.ToLower(string(c.head)), string(headEnd))
	return !complete || strings.Contains(head, "\ncontent-length")
}

// setState follows what http.Server reports of the connection.
func (c *clientConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateIdle {
		c.endIdle()
		return
	}
	c.idle, c.idleSince = true, time.Now()
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.idleTimeout(), c.closeIdle)
		return
	}
	c.idleTimer.Reset(c.idleTimeout())
}

// endIdle ends an idle time; the caller holds the lock.
func (c *clientConn) endIdle() {
	if c.idle {
		c.idle = false
		c.idleTimer.Stop()
	}
}

// closeIdle closes a connection that has been idle for as long as the limit now in force allows.
func (c *clientConn) closeIdle() {
	c.mu.Lock()
	left := c.idleTimeout() - time.Since(c.idleSince)
	if !c.idle || left > 0 {
		if c.idle {
			c.idleTimer.Reset(left)
		}
		c.mu.Unlock()
		return
	}
	c.idle = false
	c.mu.Unlock()
	_ = c.Close()
}

// Close ends the connection and its timer.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.endIdle()
	c.mu.Unlock()
	return c.Conn.Close()
}
