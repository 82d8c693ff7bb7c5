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
	addr string
	d    Dialer
	keep *KeepAlive
	mu   sync.Mutex
	free []*Connection
	open int
	most int
	shut bool
	used bool // a connection was opened before
	wait []chan struct{}
	made *DialCounts
	pie  *fairshare.Shares // connections in use, by owner
}

// NewPool makes a pool; most is this process's share of the replica's connections, keep what is known of how long the service's replicas keep idle ones.
func NewPool(addr string, d Dialer, most int, keep *KeepAlive, made *DialCounts) *Pool {
	return &Pool{addr: addr, d: d, most: most, keep: keep, made: made, pie: fairshare.New(int64(most), fairshare.CalmFraction)}
}

// SetLimit changes the share. Idle connections over a smaller one are closed; those in use end with their answers.
func (p *Pool) SetLimit(most int) {
	p.mu.Lock()
	if p.most == most {
		p.mu.Unlock()
		return
	}
	p.most = most
	p.pie.Resize(int64(most))
	n := min(max(0, p.open-most), len(p.free))
	over := p.free[:n:n]
	p.free = append([]*Connection{}, p.free[n:]...)
	p.signal()
	p.mu.Unlock()
	kill(over)
}

// kill closes connections that were taken out of their pool: nobody can get one of them meanwhile.
func kill(taken []*Connection) {
	for _, connection := range taken {
		connection.Close()
	}
}

// takeOut takes the idle connections out that meet a condition; the caller holds the pool.
func (p *Pool) takeOut(which func(*Connection) bool) (taken []*Connection) {
	rest := make([]*Connection, 0, len(p.free))
	for _, connection := range p.free {
		if which(connection) {
			taken = append(taken, connection)
		} else {
			rest = append(rest, connection)
		}
	}
	p.free = rest
	return taken
}

// Get gives an owner an idle connection or a new one, waiting at most d. When they are nearly all in use, each owner has its portion. A wary one takes no connection that the replica may have forgotten. A wait ends when quit closes.
func (p *Pool) Get(owner string, d time.Duration, wary bool, quit <-chan struct{}) (*Connection, error) {
	end := time.Now().Add(d)
	for {
		p.mu.Lock()
		if p.shut {
			p.mu.Unlock()
			return nil, errkind.New(errkind.Unavailable, "the replica is gone")
		}
		if p.most < 1 {
			p.mu.Unlock()
			return nil, errkind.New(errkind.Overloaded, "no share of the replica's connections")
		}
		if p.pie.TryAcquire(owner, 1) {
			had := len(p.free)
			if ch := p.idle(wary); ch != nil {
				ch.owner = owner
				p.mu.Unlock()
				return ch, nil
			}
			if p.open < p.most {
				switch {
				case len(p.free) > 0:
					p.made.Untrusted.Inc()
				case had > 0:
					p.made.Expired.Inc()
				case p.open > 0:
					p.made.AllInUse.Inc()
				case p.used:
					p.made.Reopened.Inc()
				default:
					p.made.First.Inc()
				}
				p.used = true
				p.open++
				p.mu.Unlock()
				return p.dial(owner, end)
			}
			p.pie.Release(owner, 1)
		}
		w := make(chan struct{}, 1)
		p.wait = append(p.wait, w)
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

// idle takes the connection used last, if it may still be used; the caller holds the pool.
func (p *Pool) idle(wary bool) *Connection {
	now := time.Now()
	for len(p.free) > 0 {
		ch := p.free[len(p.free)-1]
		idle := now.Sub(ch.idle)
		if now.Before(ch.expires) && !ch.killed.Load() && idle < p.keep.MaxIdle(now) {
			if wary && idle >= p.keep.MaxIdleUnrepeatable(now) && p.open < p.most {
				return nil // it is left for one that may be sent again
			}
			p.free = p.free[:len(p.free)-1]
			ch.rested = idle
			return ch
		}
		p.free = p.free[:len(p.free)-1]
		go ch.Close()
	}
	return nil
}

// forgot notes that a kept connection was reset when it was used again: those that were idle as long are closed, and the service's others are kept less long. It is false if that was no forgetting.
func (p *Pool) forgot(rested time.Duration) bool {
	now := time.Now()
	if !p.keep.RecordStale(rested, now) {
		return false
	}
	p.made.Stale.Inc()
	p.mu.Lock()
	old := p.takeOut(func(c *Connection) bool { return now.Sub(c.idle) >= rested })
	p.mu.Unlock()
	kill(old)
	return true
}

func (p *Pool) dial(owner string, end time.Time) (*Connection, error) {
	c, err := p.d.DialReplica(p.addr, min(replicaDial, time.Until(end)))
	if err != nil {
		p.mu.Lock()
		p.open--
		p.pie.Release(owner, 1)
		p.signal()
		p.mu.Unlock()
		return nil, errkind.Wrap(errkind.UpstreamFailure, err, "dial")
	}
	p.made.All.Inc()
	return open(p, c, owner), nil
}

func (p *Pool) signal() {
	for _, w := range p.wait {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	p.wait = nil
}

// release ends an owner's use of a connection; the caller holds the pool.
func (p *Pool) release(ch *Connection) {
	if ch.owner != "" {
		p.pie.Release(ch.owner, 1)
		ch.owner = ""
	}
}

// put takes a connection back; false if it isn't wanted any more: the caller closes it.
func (p *Pool) put(ch *Connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(ch)
	if p.shut || p.open > p.most {
		return false
	}
	p.free = append(p.free, ch)
	p.signal()
	return true
}

func (p *Pool) gone(ch *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.release(ch)
	for i, x := range p.free {
		if x == ch {
			p.free = append(p.free[:i], p.free[i+1:]...)
			break
		}
	}
	p.signal()
}

// Sweep closes connections whose idle time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := time.Now()
	old := p.takeOut(func(c *Connection) bool { return !now.Before(c.expires) })
	p.mu.Unlock()
	kill(old)
}

func (p *Pool) flush() {
	p.mu.Lock()
	free := p.free
	p.free = nil
	p.mu.Unlock()
	kill(free)
}

// Close closes idle connections and gives out no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.shut = true
	p.mu.Unlock()
	p.flush()
}
