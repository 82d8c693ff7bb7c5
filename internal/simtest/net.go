package simtest

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Net is the network. Times are those of the test's bubble.
type Net struct {
	mu    sync.Mutex
	delay time.Duration
	hosts map[string]*Host
	cuts  map[[2]string]bool
	froze map[string]bool          // hosts whose process is stopped
	keeps map[string]time.Duration // hosts that forget connections idle longer, without a word
	wake  chan struct{}
	all   map[*conn]bool
}

// NewNet makes a network with one delay everywhere.
func NewNet(delay time.Duration) *Net {
	return &Net{delay: delay, hosts: map[string]*Host{}, cuts: map[[2]string]bool{}, froze: map[string]bool{}, keeps: map[string]time.Duration{}, wake: make(chan struct{}), all: map[*conn]bool{}}
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
	delete(n.froze, ip)
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

// ResetAll resets all connections of a host, those that it made and those that it took.
func (n *Net) ResetAll(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.all {
		if c.from == ip || c.to == ip {
			c.broken, c.peer.broken = true, true
			delete(n.all, c)
		}
	}
	n.changed()
}

// Freeze stops all that a host's process does on the network, or lets it go on: what others send waits for it.
func (n *Net) Freeze(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.froze[ip] = on
	n.changed()
}

// awake waits until a host's process goes on; the caller holds the network, also afterwards.
func (n *Net) awake(ip string) {
	for n.froze[ip] {
		wake := n.wake
		n.mu.Unlock()
		<-wake
		n.mu.Lock()
	}
}

// waitAwake is awake for callers that don't hold the network.
func (n *Net) waitAwake(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.awake(ip)
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
		l.h.n.waitAwake(l.h.ip)
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
	n.waitAwake(h.ip)
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
		n.waitAwake(h.ip)
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
