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
	at time.Time
	b  []byte
}

// conn is one end; what it reads lies in its own in.
type conn struct {
	n        *Net
	from, to string
	name     string
	peer     *conn
	in       []chunk
	eof      bool
	broken   bool
	lostAt   time.Time
	unacked  time.Time // the first write after that
	lost     bool      // its host or its peer's lost power
	shut     bool
	last     time.Time // something went either way
	rd, wd   time.Time
}

func (n *Net) pair(from, to, at string) (*conn, *conn) {
	a, b := &conn{n: n, from: from, to: to, name: at}, &conn{n: n, from: to, to: from, name: from}
	a.peer, b.peer = b, a
	n.mu.Lock()
	n.all[a], n.all[b] = true, true
	n.mu.Unlock()
	return a, b
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		c.n.mu.Lock()
		c.n.awake(c.from)
		now := time.Now()
		wait := time.Duration(-1)
		switch {
		case c.shut:
			c.n.mu.Unlock()
			return 0, net.ErrClosed
		case c.broken:
			c.n.mu.Unlock()
			return 0, syscall.ECONNRESET
		case !c.rd.IsZero() && !now.Before(c.rd):
			c.n.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case c.lost && !now.Before(c.given()):
			c.n.mu.Unlock()
			return 0, syscall.ETIMEDOUT
		case len(c.in) > 0 && !c.n.cuts[[2]string{c.to, c.from}]:
			if x := &c.in[0]; !now.Before(x.at) {
				k := copy(b, x.b)
				if x.b = x.b[k:]; len(x.b) == 0 {
					c.in = c.in[1:]
				}
				c.n.mu.Unlock()
				return k, nil
			} else {
				wait = x.at.Sub(now)
			}
		case len(c.in) == 0 && c.eof:
			c.n.mu.Unlock()
			return 0, io.EOF
		}
		if !c.rd.IsZero() {
			if d := c.rd.Sub(now); wait < 0 || d < wait {
				wait = d
			}
		}
		if c.lost {
			if d := c.given().Sub(now); wait < 0 || d < wait {
				wait = d
			}
		}
		w := c.n.wake
		c.n.mu.Unlock()
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

// given is when the kernel gives a lost connection up: by its probes, or sooner if bytes go unacknowledged.
func (c *conn) given() time.Time {
	end := c.lostAt.Add(upstream.KeepAliveIdle + upstream.KeepAliveProbes*upstream.KeepAliveInterval)
	if u := c.unacked.Add(upstream.UnacknowledgedTimeout); !c.unacked.IsZero() && u.Before(end) {
		end = u
	}
	return end
}

func (c *conn) Write(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.n.awake(c.from)
	switch {
	case c.shut:
		return 0, net.ErrClosed
	case c.broken:
		return 0, syscall.ECONNRESET
	case c.lost:
		if c.unacked.IsZero() {
			c.unacked = time.Now()
			c.n.changed()
		}
		return len(b), nil
	case c.peer.shut:
		c.broken = true
		return 0, syscall.EPIPE
	}
	now := time.Now()
	if d := c.n.keeps[c.to]; d > 0 && !c.last.IsZero() && now.Sub(c.last) > d {
		c.broken, c.peer.broken = true, true
		c.n.changed()
		return len(b), nil
	}
	c.last, c.peer.last = now, now
	c.peer.in = append(c.peer.in, chunk{time.Now().Add(c.n.delay), append([]byte{}, b...)})
	c.n.changed()
	return len(b), nil
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.shut {
		return nil
	}
	c.shut = true
	delete(c.n.all, c)
	if !c.lost {
		if len(c.in) > 0 {
			c.peer.broken = true
		}
		c.peer.eof = true
	}
	c.n.changed()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.from + ":0") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.name) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.n.mu.Lock()
	c.rd = t
	c.n.changed()
	c.n.mu.Unlock()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.n.mu.Lock()
	c.wd = t
	c.n.mu.Unlock()
	return nil
}
