// Package sim is the simulated world of the tests: a network with delay, cuts and resets, disks with faults, and stand-ins for platform, replicas, operator and clients that judge what they see.
package sim

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"shaletrestle/internal/constants"
)

// Net is the network. Times are those of the test's bubble.
type Net struct {
	mu    sync.Mutex
	delay time.Duration
	hosts map[string]*Host
	cuts  map[[2]string]bool
	keeps map[string]time.Duration // hosts that forget connections idle longer, without a word
	wake  chan struct{}
	all   map[*conn]bool
}

// NewNet makes a network with one delay everywhere.
func NewNet(delay time.Duration) *Net {
	return &Net{delay: delay, hosts: map[string]*Host{}, cuts: map[[2]string]bool{}, keeps: map[string]time.Duration{}, wake: make(chan struct{}), all: map[*conn]bool{}}
}

// Host is one address.
type Host struct {
	n   *Net
	ip  string
	lns map[string]*listener
	off bool // without power: nothing answers
}

// Host gives the host with an address.
func (n *Net) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[ip]
	if h == nil {
		h = &Host{n: n, ip: ip, lns: map[string]*listener{}}
		n.hosts[ip] = h
	}
	return h
}

func (n *Net) changed() {
	close(n.wake)
	n.wake = make(chan struct{})
}

// Cut stops everything from a to b, silently.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	n.cuts[[2]string{a, b}] = true
	n.changed()
	n.mu.Unlock()
}

// addresses lists all hosts.
func (n *Net) addresses() (ips []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip := range n.hosts {
		ips = append(ips, ip)
	}
	return ips
}

// Heal ends all cuts.
func (n *Net) Heal() {
	n.mu.Lock()
	n.cuts = map[[2]string]bool{}
	n.changed()
	n.mu.Unlock()
}

// Kill ends all connections and listeners of a host; power says whether its peers hear nothing of it.
func (n *Net) Kill(ip string, power bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[ip]; h != nil {
		h.off = power
		for _, l := range h.lns {
			l.once.Do(func() { close(l.done) })
		}
		h.lns = map[string]*listener{}
	}
	for c := range n.all {
		if c.from == ip || c.to == ip {
			if power {
				c.lost, c.lostAt = true, time.Now()
				if c.from == ip {
					c.broken = true
				}
			} else {
				c.broken, c.peer.broken = true, true
			}
			delete(n.all, c)
		}
	}
	n.changed()
}

// On gives a host its power back.
func (n *Net) On(ip string) {
	n.mu.Lock()
	n.hosts[ip].off = false
	n.mu.Unlock()
}

// Forget makes a host forget connections that were idle longer than d: the next thing sent on one is reset. 0 ends that.
func (n *Net) Forget(ip string, d time.Duration) {
	n.mu.Lock()
	n.keeps[ip] = d
	n.mu.Unlock()
}

// Reset resets every so manieth connection that a host has taken.
func (n *Net) Reset(ip string, each int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := 0
	for c := range n.all {
		if c.to != ip || c.name == ip {
			continue
		}
		if i++; i%each == 0 {
			c.broken, c.peer.broken = true, true
			delete(n.all, c)
			delete(n.all, c.peer)
		}
	}
	n.changed()
}

// Close ends the world.
func (n *Net) Close() {
	n.mu.Lock()
	ips := make([]string, 0, len(n.hosts))
	for ip := range n.hosts {
		ips = append(ips, ip)
	}
	n.mu.Unlock()
	for _, ip := range ips {
		n.Kill(ip, false)
	}
}

type listener struct {
	h    *Host
	addr string
	c    chan net.Conn
	done chan struct{}
	once sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.c:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.h.n.mu.Lock()
	if l.h.lns[l.addr] == l {
		delete(l.h.lns, l.addr)
	}
	l.h.n.mu.Unlock()
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "sim" }
func (a addr) String() string { return string(a) }

// Listen is crew.Net's.
func (h *Host) Listen(at string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.lns[at] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{h: h, addr: at, c: make(chan net.Conn, 128), done: make(chan struct{})}
	h.lns[at] = l
	return l, nil
}

// DialReplica is blade.Dialer's.
func (h *Host) DialReplica(at string, d time.Duration) (net.Conn, error) { return h.Dial(at, d) }

// Dial is crew.Net's.
func (h *Host) Dial(at string, d time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(at)
	if err != nil {
		return nil, err
	}
	n := h.n
	end := time.Now().Add(d)
	for {
		n.mu.Lock()
		t := n.hosts[ip]
		dark := t == nil || t.off || n.cuts[[2]string{h.ip, ip}] || n.cuts[[2]string{ip, h.ip}]
		var l *listener
		if t != nil {
			l = t.lns[at]
		}
		w := n.wake
		n.mu.Unlock()
		if dark {
			select {
			case <-w:
				continue
			case <-time.After(time.Until(end)):
				return nil, os.ErrDeadlineExceeded
			}
		}
		time.Sleep(2 * n.delay)
		if l == nil {
			return nil, syscall.ECONNREFUSED
		}
		a, b := n.pair(h.ip, ip, at)
		select {
		case l.c <- b:
			return a, nil
		case <-l.done:
			return nil, syscall.ECONNREFUSED
		}
	}
}

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
	end := c.lostAt.Add(constants.AliveIdle + constants.AliveCount*constants.AliveEvery)
	if u := c.unacked.Add(constants.UnackedMost); !c.unacked.IsZero() && u.Before(end) {
		end = u
	}
	return end
}

func (c *conn) Write(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
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
