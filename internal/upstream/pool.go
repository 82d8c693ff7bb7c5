package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/atomic"
	"golang.org/x/sys/unix"

	"shaletrestle/coord/fairshare"
	"shaletrestle/internal/errkind"
)

// Dialer opens connections to replicas.
type Dialer interface {
	DialReplica(addr string, d time.Duration) (net.Conn, error)
}

// TCP is the real network: unacknowledged bytes and silent peers end a connection soon.
type TCP struct{}

// DialReplica connects.
func (TCP) DialReplica(addr string, d time.Duration) (net.Conn, error) {
	x := net.Dialer{Timeout: d, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedTimeout.Milliseconds()))
		})
	}, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveProbes}}
	return x.DialContext(context.Background(), "tcp4", addr)
}

// DialCounts counts why connections were opened.
type DialCounts struct {
	All       atomic.Int64 `json:"all"`
	First     atomic.Int64 `json:"first"`   // the first to that replica
	Reopened  atomic.Int64 `json:"again"`   // earlier ones were closed
	AllInUse  atomic.Int64 `json:"crowded"` // all were in use
	Expired   atomic.Int64 `json:"expired"` // the kept ones had been idle too long
	Untrusted atomic.Int64 `json:"wary"`    // a kept one was there and not trusted
	Stale     atomic.Int64 `json:"forgot"`  // kept ones that the replica had forgotten
	Closing   atomic.Int64 `json:"closing"` // answers that said Connection: close
}

// Pool holds the connections to one life of a replica.
type Pool struct {
	addr      string
	dialer    Dialer
	keepAlive *KeepAlive
	mu        sync.Mutex
	idle      []*Connection
	open      int
	limit     int
	closed    bool
	dialed    bool // a connection was opened before
	waiting   []chan struct{}
	counts    *DialCounts
	shares    *fairshare.Shares // connections in use, by owner
}

// NewPool makes a pool; most is this process's share of the replica's connections, keep what is known of how long the service's replicas keep idle ones.
func NewPool(addr string, d Dialer, most int, keep *KeepAlive, made *DialCounts) *Pool {
	return &Pool{addr: addr, dialer: d, limit: most, keepAlive: keep, counts: made, shares: fairshare.New(int64(most), fairshare.CalmFraction)}
}

// SetLimit changes the share. Idle connections over a smaller one are closed; those in use end with their answers.
func (p *Pool) SetLimit(most int) {
	p.mu.Lock()
	if p.limit == most {
		p.mu.Unlock()
		return
	}
	p.limit = most
	p.shares.Resize(int64(most))
	n := min(max(0, p.open-most), len(p.idle))
	over := p.idle[:n:n]
	p.idle = append([]*Connection{}, p.idle[n:]...)
	p.signal()
	p.mu.Unlock()
	closeAll(over)
}

// closeAll closes connections that were taken out of their pool: nobody can get one of them meanwhile.
func closeAll(taken []*Connection) {
	for _, connection := range taken {
		connection.Close()
	}
}

// removeIdle takes the idle connections out that meet a condition; the caller holds the pool.
func (p *Pool) removeIdle(which func(*Connection) bool) (taken []*Connection) {
	rest := make([]*Connection, 0, len(p.idle))
	for _, connection := range p.idle {
		if which(connection) {
			taken = append(taken, connection)
		} else {
			rest = append(rest, connection)
		}
	}
	p.idle = rest
	return taken
}

// Get gives an owner an idle connection or a new one, waiting at most d. When they are nearly all in use, each owner has its portion. A wary one takes no connection that the replica may have forgotten. A wait ends when quit closes.
func (p *Pool) Get(owner string, d time.Duration, wary bool, quit <-chan struct{}) (*Connection, error) {
	end := time.Now().Add(d)
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, errkind.New(errkind.Unavailable, "the replica is gone")
		}
		if p.limit < 1 {
			p.mu.Unlock()
			return nil, errkind.New(errkind.Overloaded, "no share of the replica's connections")
		}
		if p.shares.TryAcquire(owner, 1) {
			had := len(p.idle)
			if ch := p.takeIdle(wary); ch != nil {
				ch.owner = owner
				p.mu.Unlock()
				return ch, nil
			}
			if p.open < p.limit {
				switch {
				case len(p.idle) > 0:
					p.counts.Untrusted.Inc()
				case had > 0:
					p.counts.Expired.Inc()
				case p.open > 0:
					p.counts.AllInUse.Inc()
				case p.dialed:
					p.counts.Reopened.Inc()
				default:
					p.counts.First.Inc()
				}
				p.dialed = true
				p.open++
				p.mu.Unlock()
				return p.dial(owner, end)
			}
			p.shares.Release(owner, 1)
		}
		w := make(chan struct{}, 1)
		p.waiting = append(p.waiting, w)
		p.mu.Unlock()
		select {
		case <-w:
		case <-quit:
			return nil, ErrAbandoned
		case <-time.After(time.Until(end)):
			return nil, errkind.New(errkind.Overloaded, "no connection is free")
		}
	}
}

// takeIdle takes the connection used last, if it may still be used; the caller holds the pool.
func (p *Pool) takeIdle(wary bool) *Connection {
	now := time.Now()
	for len(p.idle) > 0 {
		ch := p.idle[len(p.idle)-1]
		idle := now.Sub(ch.idleSince)
		if now.Before(ch.expires) && !ch.isClosed.Load() && idle < p.keepAlive.MaxIdle(now) {
			if wary && idle >= p.keepAlive.MaxIdleUnrepeatable(now) && p.open < p.limit {
				return nil // it is left for one that may be sent again
			}
			p.idle = p.idle[:len(p.idle)-1]
			ch.idleBefore = idle
			return ch
		}
		p.idle = p.idle[:len(p.idle)-1]
		go ch.Close()
	}
	return nil
}

// recordStale notes that a kept connection was reset when it was used again: those that were idle as long are closed, and the service's others are kept less long. It is false if that was no forgetting.
func (p *Pool) recordStale(rested time.Duration) bool {
	now := time.Now()
	if !p.keepAlive.RecordStale(rested, now) {
		return false
	}
	p.counts.Stale.Inc()
	p.mu.Lock()
	old := p.removeIdle(func(c *Connection) bool { return now.Sub(c.idleSince) >= rested })
	p.mu.Unlock()
	closeAll(old)
	return true
}

func (p *Pool) dial(owner string, end time.Time) (*Connection, error) {
	c, err := p.dialer.DialReplica(p.addr, min(dialTimeout, time.Until(end)))
	if err != nil {
		p.mu.Lock()
		p.open--
		p.shares.Release(owner, 1)
		p.signal()
		p.mu.Unlock()
		return nil, errkind.Wrap(errkind.UpstreamFailure, err, "dial")
	}
	p.counts.All.Inc()
	return open(p, c, owner), nil
}

func (p *Pool) signal() {
	for _, w := range p.waiting {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	p.waiting = nil
}

// releaseShare ends an owner's use of a connection; the caller holds the pool.
func (p *Pool) releaseShare(ch *Connection) {
	if ch.owner != "" {
		p.shares.Release(ch.owner, 1)
		ch.owner = ""
	}
}

// put takes a connection back; false if it isn't wanted any more: the caller closes it.
func (p *Pool) put(ch *Connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseShare(ch)
	if p.closed || p.open > p.limit {
		return false
	}
	p.idle = append(p.idle, ch)
	p.signal()
	return true
}

func (p *Pool) remove(ch *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.releaseShare(ch)
	for i, x := range p.idle {
		if x == ch {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	p.signal()
}

// Sweep closes connections whose idle time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := time.Now()
	old := p.removeIdle(func(c *Connection) bool { return !now.Before(c.expires) })
	p.mu.Unlock()
	closeAll(old)
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	free := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(free)
}

// Close closes idle connections and gives out no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
