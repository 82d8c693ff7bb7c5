package frontend

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// headSlackBytes is how far over its limit a head is read: the router itself answers one that is not larger than that.
	headSlackBytes = 4 << 10
	// unknownFramingBytes is how much more is read where it is not known whether the bytes belong to a head or to a body that
	// nobody wants: the request is rejected in any case.
	unknownFramingBytes = 256 << 10
	// rejectLinger is how long a connection stays open behind an answer that its client may not have read yet: closing it at once
	// could reset it.
	rejectLinger = 500 * time.Millisecond
	// headTooLarge is the answer to a head over the limit, as net/http would give it.
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

// errHeadTooLarge says that the head of a request is over the limit in force.
var errHeadTooLarge = errors.New("head over the limit")

// checkHead holds the present message against the limits in force; the caller holds the lock.
func (c *clientConn) checkHead() error {
	limit := int64(c.limits().headBytes) + headSlackBytes
	switch {
	case c.framing.inHead():
		c.beginHead()
		if c.framing.headBytes > limit {
			return errHeadTooLarge
		}
	case c.framing.state == unknownFraming:
		c.endHead()
		if c.framing.headBytes > limit+unknownFramingBytes {
			return net.ErrClosed
		}
	default:
		c.endHead()
	}
	return nil
}

// beginHead starts the time of a head, unless it runs; the caller holds the lock.
func (c *clientConn) beginHead() {
	if c.headSince.IsZero() {
		c.headSince = time.Now()
		c.headTimer.Reset(c.limits().headTimeout)
	}
}

// endHead ends the time of a head; the caller holds the lock.
func (c *clientConn) endHead() {
	if !c.headSince.IsZero() {
		c.headSince = time.Time{}
		c.headTimer.Stop()
	}
}

// closeSlowHead closes a connection whose head has not come in the time that the limit now in force allows.
func (c *clientConn) closeSlowHead() {
	c.mu.Lock()
	left := c.limits().headTimeout - time.Since(c.headSince)
	if c.headSince.IsZero() || left > 0 {
		if !c.headSince.IsZero() {
			c.headTimer.Reset(left)
		}
		c.mu.Unlock()
		return
	}
	c.isClosed = true
	c.mu.Unlock()
	_ = c.Close()
}

// answerTooLarge passes on what a Read gives. A head over the limit is answered here, since net/http does not get it: no other
// answer is under way, as requests are handed out one at a time.
func (c *clientConn) answerTooLarge(n int, err error) (int, error) {
	if !errors.Is(err, errHeadTooLarge) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(rejectLinger))
	_, _ = io.WriteString(c.Conn, headTooLarge)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	select {
	case <-time.After(rejectLinger):
	case <-c.closed:
	}
	return 0, io.EOF
}
