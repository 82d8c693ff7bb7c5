package simtest

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is the network. Times are those of the test's bubble.
type Network struct {
	mu          sync.Mutex
	delay       time.Duration
	hosts       map[string]*Host
	cuts        map[[2]string]bool
	frozen      map[string]bool          // hosts whose process is stopped
	idleLimits  map[string]time.Duration // hosts that forget connections idle longer, silently
	wakeup      chan struct{}
	connections map[*conn]bool
}

// NewNetwork makes a network with one delay everywhere.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, hosts: map[string]*Host{}, cuts: map[[2]string]bool{}, frozen: map[string]bool{}, idleLimits: map[string]time.Duration{}, wakeup: make(chan struct{}), connections: map[*conn]bool{}}
}

// Host is one address.
type Host struct {
	network    *Network
	ip         string
	listeners  map[string]*listener
	poweredOff bool // without power: nothing answers
}

// Host gives the host with an address.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[ip]
	if h == nil {
		h = &Host{network: n, ip: ip, listeners: map[string]*listener{}}
		n.hosts[ip] = h
	}
	return h
}

func (n *Network) wakeAll() {
	close(n.wakeup)
	n.wakeup = make(chan struct{})
}

// Partition stops everything from a to b, silently.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	n.cuts[[2]string{a, b}] = true
	n.wakeAll()
	n.mu.Unlock()
}

// addresses lists all hosts.
func (n *Network) addresses() (ips []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip := range n.hosts {
		ips = append(ips, ip)
	}
	return ips
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	n.cuts = map[[2]string]bool{}
	n.wakeAll()
	n.mu.Unlock()
}

// Kill ends all connections and listeners of a host; power says whether its peers hear nothing of it.
func (n *Network) Kill(ip string, power bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, ip)
	if h := n.hosts[ip]; h != nil {
		h.poweredOff = power
		for _, l := range h.listeners {
			l.once.Do(func() { close(l.done) })
		}
		h.listeners = map[string]*listener{}
	}
	for c := range n.connections {
		if c.from == ip || c.to == ip {
			if power {
				c.peerLost, c.lostAt = true, time.Now()
				if c.from == ip {
					c.isReset = true
				}
			} else {
				c.isReset, c.peer.isReset = true, true
			}
			delete(n.connections, c)
		}
	}
	n.wakeAll()
}

// PowerOn gives a host its power back.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	n.hosts[ip].poweredOff = false
	n.mu.Unlock()
}

// DropIdle makes a host forget connections that were idle longer than d: the next thing sent on one is reset. 0 ends that.
func (n *Network) DropIdle(ip string, d time.Duration) {
	n.mu.Lock()
	n.idleLimits[ip] = d
	n.mu.Unlock()
}

// Reset resets every so manieth connection that a host has taken.
func (n *Network) Reset(ip string, each int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := 0
	for c := range n.connections {
		if c.to != ip || c.remote == ip {
			continue
		}
		if i++; i%each == 0 {
			c.isReset, c.peer.isReset = true, true
			delete(n.connections, c)
			delete(n.connections, c.peer)
		}
	}
	n.wakeAll()
}

// ResetAll resets all connections of a host, those that it made and those that it took.
func (n *Network) ResetAll(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.connections {
		if c.from == ip || c.to == ip {
			c.isReset, c.peer.isReset = true, true
			delete(n.connections, c)
		}
	}
	n.wakeAll()
}

// Freeze stops all that a host's process does on the network, or lets it go on: what others send waits for it.
func (n *Network) Freeze(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = on
	n.wakeAll()
}

// waitAwakeLocked waits until a host's process goes on; the caller holds the network's lock, also afterwards.
func (n *Network) waitAwakeLocked(ip string) {
	for n.frozen[ip] {
		wake := n.wakeup
		n.mu.Unlock()
		<-wake
		n.mu.Lock()
	}
}

// waitAwake is waitAwakeLocked for callers that don't hold the network's lock.
func (n *Network) waitAwake(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waitAwakeLocked(ip)
}

// Close resets all connections and closes all listeners.
func (n *Network) Close() {
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
	host     *Host
	address  string
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		l.host.network.waitAwake(l.host.ip)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.host.network.mu.Lock()
	if l.host.listeners[l.address] == l {
		delete(l.host.listeners, l.address)
	}
	l.host.network.mu.Unlock()
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "sim" }
func (a addr) String() string { return string(a) }

// Listen is crew.Net's.
func (h *Host) Listen(at string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.listeners[at] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{host: h, address: at, accepted: make(chan net.Conn, 128), done: make(chan struct{})}
	h.listeners[at] = l
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
	n := h.network
	n.waitAwake(h.ip)
	end := time.Now().Add(d)
	for {
		n.mu.Lock()
		t := n.hosts[ip]
		dark := t == nil || t.poweredOff || n.cuts[[2]string{h.ip, ip}] || n.cuts[[2]string{ip, h.ip}]
		var l *listener
		if t != nil {
			l = t.listeners[at]
		}
		w := n.wakeup
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
		case l.accepted <- b:
			return a, nil
		case <-l.done:
			return nil, syscall.ECONNREFUSED
		}
	}
}
