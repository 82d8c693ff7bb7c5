package simtest

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"shaletrestle/internal/upstream"
)

type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// conn is one end; what it reads lies in its own in.
type conn struct {
	network                     *Network
	from, to                    string
	remote                      string
	peer                        *conn
	inbound                     []chunk
	eof                         bool
	isReset                     bool
	lostAt                      time.Time
	unackedSince                time.Time // the first write after that
	peerLost                    bool      // its host or its peer's lost power
	closed                      bool
	lastActive                  time.Time // something went either way
	readDeadline, writeDeadline time.Time
}

func (n *Network) pair(from, to, at string) (*conn, *conn) {
	a, b := &conn{network: n, from: from, to: to, remote: at}, &conn{network: n, from: to, to: from, remote: from}
	a.peer, b.peer = b, a
	n.mu.Lock()
	n.connections[a], n.connections[b] = true, true
	n.mu.Unlock()
	return a, b
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		c.network.mu.Lock()
		c.network.waitAwakeLocked(c.from)
		now := time.Now()
		wait := time.Duration(-1)
		switch {
		case c.closed:
			c.network.mu.Unlock()
			return 0, net.ErrClosed
		case c.isReset:
			c.network.mu.Unlock()
			return 0, syscall.ECONNRESET
		case !c.readDeadline.IsZero() && !now.Before(c.readDeadline):
			c.network.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case c.peerLost && !now.Before(c.timesOutAt()):
			c.network.mu.Unlock()
			return 0, syscall.ETIMEDOUT
		case len(c.inbound) > 0 && !c.network.cuts[[2]string{c.to, c.from}]:
			if x := &c.inbound[0]; !now.Before(x.arrivesAt) {
				k := copy(b, x.data)
				if x.data = x.data[k:]; len(x.data) == 0 {
					c.inbound = c.inbound[1:]
				}
				c.network.mu.Unlock()
				return k, nil
			} else {
				wait = x.arrivesAt.Sub(now)
			}
		case len(c.inbound) == 0 && c.eof:
			c.network.mu.Unlock()
			return 0, io.EOF
		}
		if !c.readDeadline.IsZero() {
			if d := c.readDeadline.Sub(now); wait < 0 || d < wait {
				wait = d
			}
		}
		if c.peerLost {
			if d := c.timesOutAt().Sub(now); wait < 0 || d < wait {
				wait = d
			}
		}
		w := c.network.wakeup
		c.network.mu.Unlock()
		if wait < 0 {
			<-w
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-w:
		case <-t.C:
		}
		t.Stop()
	}
}

// timesOutAt is when the kernel gives a lost connection up: by its probes, or sooner if bytes go unacknowledged.
func (c *conn) timesOutAt() time.Time {
	end := c.lostAt.Add(upstream.KeepAliveIdle + upstream.KeepAliveProbes*upstream.KeepAliveInterval)
	if u := c.unackedSince.Add(upstream.UnacknowledgedTimeout); !c.unackedSince.IsZero() && u.Before(end) {
		end = u
	}
	return end
}

func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.waitAwakeLocked(c.from)
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.isReset:
		return 0, syscall.ECONNRESET
	case c.peerLost:
		if c.unackedSince.IsZero() {
			c.unackedSince = time.Now()
			c.network.wakeAll()
		}
		return len(b), nil
	case c.peer.closed:
		c.isReset = true
		return 0, syscall.EPIPE
	}
	now := time.Now()
	if d := c.network.idleLimits[c.to]; d > 0 && !c.lastActive.IsZero() && now.Sub(c.lastActive) > d {
		c.isReset, c.peer.isReset = true, true
		c.network.wakeAll()
		return len(b), nil
	}
	c.lastActive, c.peer.lastActive = now, now
	c.peer.inbound = append(c.peer.inbound, chunk{time.Now().Add(c.network.delay), append([]byte{}, b...)})
	c.network.wakeAll()
	return len(b), nil
}

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

func (c *conn) LocalAddr() net.Addr  { return addr(c.from + ":0") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	c.readDeadline = t
	c.network.wakeAll()
	c.network.mu.Unlock()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.network.mu.Lock()
	c.writeDeadline = t
	c.network.mu.Unlock()
	return nil
}
