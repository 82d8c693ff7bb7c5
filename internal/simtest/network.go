package simtest

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// acceptBacklog is how many connections a listener holds that were not accepted yet.
const acceptBacklog = 128

// Network is the simulated network. Times are those of the test's bubble. It may be used by several goroutines at once.
type Network struct {
	delay time.Duration // one way, between any two hosts that were not moved away

	mu          sync.Mutex // guards all below, and all hosts, listeners and connections
	hosts       map[string]*Host
	cuts        map[link]bool
	frozen      map[string]bool          // hosts whose process is stopped
	farther     map[string]time.Duration // added to the delay of a host's links, each way
	idleLimits  map[string]time.Duration // hosts that forget connections idle longer, silently
	connections map[*conn]bool
	wakeup      chan struct{} // closed and replaced at each change
}

// link is one way between two hosts, by their addresses.
type link struct{ from, to string }

// NewNetwork makes a network with one delay everywhere.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay:       delay,
		hosts:       map[string]*Host{},
		cuts:        map[link]bool{},
		frozen:      map[string]bool{},
		farther:     map[string]time.Duration{},
		idleLimits:  map[string]time.Duration{},
		connections: map[*conn]bool{},
		wakeup:      make(chan struct{}),
	}
}

// MoveAway adds to the delay of all links of a host, each way.
func (n *Network) MoveAway(ip string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.farther[ip] = by
}

// delayBetween is how long bytes take from one host to another; the caller holds the lock.
func (n *Network) delayBetween(from, to string) time.Duration {
	return n.delay + n.farther[from] + n.farther[to]
}

// Host gives the host with an address, a new one if there is none.
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

// addresses lists all hosts.
func (n *Network) addresses() (ips []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip := range n.hosts {
		ips = append(ips, ip)
	}
	return ips
}

// wakeAll wakes all that waits; the caller holds the network's lock.
func (n *Network) wakeAll() {
	close(n.wakeup)
	n.wakeup = make(chan struct{})
}

// waitLocked waits for the next change, at most until a time; zero is no bound. The caller holds the network's lock,
// also afterwards, and looks again at what it waits for.
func (n *Network) waitLocked(until time.Time) {
	wakeup := n.wakeup
	n.mu.Unlock()
	defer n.mu.Lock()
	if until.IsZero() {
		<-wakeup
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-wakeup:
	case <-timer.C:
	}
}

// waitAwakeLocked waits until a host's process goes on; the caller holds the network's lock, also afterwards.
func (n *Network) waitAwakeLocked(ip string) {
	for n.frozen[ip] {
		n.waitLocked(time.Time{})
	}
}

// waitAwake is waitAwakeLocked for callers that don't hold the network's lock.
func (n *Network) waitAwake(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waitAwakeLocked(ip)
}

// Partition stops everything from one host to another, silently.
func (n *Network) Partition(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
	n.wakeAll()
}

// isCut reports whether nothing gets from one host to another; the caller holds the network's lock.
func (n *Network) isCut(from, to string) bool { return n.cuts[link{from, to}] }

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[link]bool{}
	n.wakeAll()
}

// Kill ends a host's process: its listeners are closed and its connections reset.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeListeners(ip, false)
	n.resetWhere(func(c *conn) bool { return c.touches(ip) })
}

// PowerOff takes a host's power: it answers nothing more, and its peers hear nothing of it.
func (n *Network) PowerOff(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeListeners(ip, true)
	for c := range n.connections {
		if !c.touches(ip) {
			continue
		}
		c.peerLost, c.lostAt = true, time.Now()
		if c.from == ip {
			c.isReset = true
		}
		delete(n.connections, c)
	}
	n.wakeAll()
}

// closeListeners closes what a host listens on; it is not frozen any more. The caller holds the network's lock.
func (n *Network) closeListeners(ip string, poweredOff bool) {
	delete(n.frozen, ip)
	h := n.hosts[ip]
	if h == nil {
		return
	}
	h.poweredOff = poweredOff
	for _, l := range h.listeners {
		l.once.Do(func() { close(l.done) })
	}
	h.listeners = map[string]*listener{}
}

// touches reports whether one of the connection's ends is at a host.
func (c *conn) touches(ip string) bool { return c.from == ip || c.to == ip }

// PowerOn gives a host its power back.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip].poweredOff = false
}

// DropIdle makes a host forget connections that were idle longer than a limit: the next thing sent on one is reset. 0
// ends that.
func (n *Network) DropIdle(ip string, limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idleLimits[ip] = limit
}

// ResetSome resets every so manieth connection that a host has accepted.
func (n *Network) ResetSome(ip string, every int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	accepted := 0
	n.resetWhere(func(c *conn) bool {
		if c.to != ip || c.remote == ip {
			return false
		}
		accepted++
		return accepted%every == 0
	})
}

// ResetAll resets all connections of a host, those that it dialled and those that it accepted.
func (n *Network) ResetAll(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetWhere(func(c *conn) bool { return c.touches(ip) })
}

// resetWhere resets the connections of which one end is chosen; the caller holds the network's lock.
func (n *Network) resetWhere(isChosen func(*conn) bool) {
	for c := range n.connections {
		if isChosen(c) {
			c.isReset, c.peer.isReset = true, true
			delete(n.connections, c)
			delete(n.connections, c.peer)
		}
	}
	n.wakeAll()
}

// Freeze stops all that a host's process does on the network: what others send waits for it.
func (n *Network) Freeze(ip string) { n.setFrozen(ip, true) }

// Thaw lets a frozen process go on.
func (n *Network) Thaw(ip string) { n.setFrozen(ip, false) }

func (n *Network) setFrozen(ip string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = frozen
	n.wakeAll()
}

// Close kills all hosts' processes.
func (n *Network) Close() {
	for _, ip := range n.addresses() {
		n.Kill(ip)
	}
}

// listener is part of a host.
type listener struct {
	host     *Host
	address  string
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// Accept is part of net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		l.host.network.waitAwake(l.host.ip)
		return connection, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close is part of net.Listener.
func (l *listener) Close() error {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.host.listeners[l.address] == l {
		delete(l.host.listeners, l.address)
	}
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is part of net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is an address of the simulated network.
type addr string

// Network is part of net.Addr.
func (addr) Network() string { return "simulated" }

// String is part of net.Addr.
func (a addr) String() string { return string(a) }

// Host is one address of the network.
type Host struct {
	network    *Network
	ip         string
	listeners  map[string]*listener
	poweredOff bool // nothing answers
}

// Listen is part of rpc.Net.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.listeners[address] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{host: h, address: address, accepted: make(chan net.Conn, acceptBacklog), done: make(chan struct{})}
	h.listeners[address] = l
	return l, nil
}

// DialReplica is part of upstream.Dialer.
func (h *Host) DialReplica(address string, timeout time.Duration) (net.Conn, error) {
	return h.Dial(address, timeout)
}

// Dial is part of rpc.Net.
func (h *Host) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.network
	n.waitAwake(h.ip)
	l, err := h.lookUp(ip, address, time.Now().Add(timeout))
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	oneWay := n.delayBetween(h.ip, ip)
	n.mu.Unlock()
	time.Sleep(2 * oneWay) // the handshake
	n.waitAwake(h.ip)
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	dialled, accepted := n.newPair(h.ip, ip, address)
	select {
	case l.accepted <- accepted:
		return dialled, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	}
}

// lookUp waits until a host can be reached, and gives its listener at an address; nil if it has none there.
func (h *Host) lookUp(ip, address string, deadline time.Time) (*listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for !h.canReach(ip) {
		if !time.Now().Before(deadline) {
			return nil, os.ErrDeadlineExceeded
		}
		n.waitLocked(deadline)
	}
	return n.hosts[ip].listeners[address], nil
}

// canReach reports whether a host answers; the caller holds the network's lock.
func (h *Host) canReach(ip string) bool {
	n := h.network
	other := n.hosts[ip]
	return other != nil && !other.poweredOff && !n.isCut(h.ip, ip) && !n.isCut(ip, h.ip)
}
