package simtest

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"shaletrestle/internal/upstream"
)

// chunk is what one write sent.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// conn is one end of a connection. Its fields are guarded by the network's lock.
type conn struct {
	network       *Network
	from, to      string // addresses of its host and its peer's
	remote        string // what RemoteAddr says
	peer          *conn
	inbound       []chunk // what it can read, oldest first
	eof           bool    // the peer has closed it
	isReset       bool
	closed        bool
	lastActive    time.Time // something went either way
	peerLost      bool      // its host or its peer's lost power
	lostAt        time.Time
	unackedSince  time.Time // the first write after that; zero if there was none
	readDeadline  time.Time
	writeDeadline time.Time
}

// newPair makes both ends of a connection that one host has dialled at an address of another.
func (n *Network) newPair(from, to, address string) (dialled, accepted *conn) {
	dialled = &conn{network: n, from: from, to: to, remote: address}
	accepted = &conn{network: n, from: to, to: from, remote: from}
	dialled.peer, accepted.peer = accepted, dialled
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[dialled], n.connections[accepted] = true, true
	return dialled, accepted
}

// Read is part of net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		c.network.waitAwakeLocked(c.from)
		now := time.Now()
		if err := c.readError(now); err != nil {
			return 0, err
		}
		if arrivesAt, ok := c.nextArrival(); ok && !now.Before(arrivesAt) {
			return c.take(buffer), nil
		}
		if len(c.inbound) == 0 && c.eof {
			return 0, io.EOF
		}
		c.network.waitLocked(c.nextReadEvent())
	}
}

// readError is why nothing can be read at a time, whatever has arrived; nil if something can.
func (c *conn) readError(now time.Time) error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.isReset:
		return syscall.ECONNRESET
	case !c.readDeadline.IsZero() && !now.Before(c.readDeadline):
		return os.ErrDeadlineExceeded
	case c.peerLost && !now.Before(c.timesOutAt()):
		return syscall.ETIMEDOUT
	}
	return nil
}

// nextArrival is when the oldest chunk arrives; false if there is none, or if the network is partitioned in its way.
func (c *conn) nextArrival() (time.Time, bool) {
	if len(c.inbound) == 0 || c.network.isCut(c.to, c.from) {
		return time.Time{}, false
	}
	return c.inbound[0].arrivesAt, true
}

// take moves what fits of the oldest chunk into a buffer.
func (c *conn) take(buffer []byte) int {
	oldest := &c.inbound[0]
	n := copy(buffer, oldest.data)
	oldest.data = oldest.data[n:]
	if len(oldest.data) == 0 {
		c.inbound = c.inbound[1:]
	}
	return n
}

// nextReadEvent is when a read can end without a further event of the network; zero if it can't.
func (c *conn) nextReadEvent() time.Time {
	next, _ := c.nextArrival()
	if c.peerLost {
		next = earlier(next, c.timesOutAt())
	}
	return earlier(next, c.readDeadline)
}

// earlier is the earlier of two times; a zero one does not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// timesOutAt is when the kernel gives a lost connection up: by its probes, or sooner if bytes go unacknowledged.
func (c *conn) timesOutAt() time.Time {
	probed := c.lostAt.Add(upstream.KeepAliveIdle + upstream.KeepAliveProbes*upstream.KeepAliveInterval)
	if c.unackedSince.IsZero() {
		return probed
	}
	return earlier(probed, c.unackedSince.Add(upstream.UnacknowledgedTimeout))
}

// Write is part of net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.waitAwakeLocked(c.from)
	now := time.Now()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.isReset:
		return 0, syscall.ECONNRESET
	case c.peerLost:
		c.sendUnacknowledged(now)
		return len(data), nil
	case c.peer.closed:
		c.isReset = true
		return 0, syscall.EPIPE
	case c.isForgotten(now):
		c.isReset, c.peer.isReset = true, true
		c.network.wakeAll()
		return len(data), nil
	}
	c.lastActive, c.peer.lastActive = now, now
	c.peer.inbound = append(c.peer.inbound, chunk{now.Add(c.network.delayBetween(c.from, c.to)), append([]byte{}, data...)})
	c.network.wakeAll()
	return len(data), nil
}

// sendUnacknowledged notes a write that nobody will acknowledge.
func (c *conn) sendUnacknowledged(now time.Time) {
	if c.unackedSince.IsZero() {
		c.unackedSince = now
		c.network.wakeAll()
	}
}

// isForgotten reports whether the peer's host has dropped the connection for being idle.
func (c *conn) isForgotten(now time.Time) bool {
	limit := c.network.idleLimits[c.to]
	return limit > 0 && !c.lastActive.IsZero() && now.Sub(c.lastActive) > limit
}

// Close is part of net.Conn. What was not read resets the peer's end.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	delete(c.network.connections, c)
	if !c.peerLost {
		if len(c.inbound) > 0 {
			c.peer.isReset = true
		}
		c.peer.eof = true
	}
	c.network.wakeAll()
	return nil
}

// LocalAddr is part of net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.from + ":0") }

// RemoteAddr is part of net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

// SetDeadline is part of net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetReadDeadline is part of net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline = t
	c.network.wakeAll()
	return nil
}

// SetWriteDeadline is part of net.Conn; no write waits.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.writeDeadline = t
	return nil
}
