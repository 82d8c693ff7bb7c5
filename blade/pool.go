package blade

import (
	"context"
	"net"
	"sync"
	"syscall"

	"go.uber.org/atomic"
	"golang.org/x/sys/unix"

	"shaletrestle/fault"
	"shaletrestle/plate"
	"shaletrestle/portion"
	"shaletrestle/tick"
)

// Dialer opens connections to replicas.
type Dialer interface {
	DialReplica(addr string, d tick.Span) (net.Conn, error)
}

// TCP is the real network: unacknowledged bytes and silent peers end a connection soon.
type TCP struct{}

// DialReplica connects.
func (TCP) DialReplica(addr string, d tick.Span) (net.Conn, error) {
	x := net.Dialer{Timeout: d, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(plate.UnackedMost.Milliseconds()))
		})
	}, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: plate.AliveIdle, Interval: plate.AliveEvery, Count: plate.AliveCount}}
	return x.DialContext(context.Background(), "tcp4", addr)
}

// Pool holds the connections to one life of a replica.
type Pool struct {
	addr string
	d    Dialer
	mu   sync.Mutex
	free []*Channel
	open int
	most int
	shut bool
	wait []chan struct{}
	made *atomic.Int64
	pie  *portion.Pie // channels in use, by owner
}

// NewPool makes a pool; most is this process's share of the replica's connections.
func NewPool(addr string, d Dialer, most int, made *atomic.Int64) *Pool {
	return &Pool{addr: addr, d: d, most: max(1, most), made: made, pie: portion.New(int64(max(1, most)), plate.CalmPart)}
}

// Get gives an owner an idle connection or a new one, waiting at most d. When they are nearly all in use, each owner has its portion.
func (p *Pool) Get(owner string, d tick.Span) (*Channel, error) {
	end := tick.Now().Add(d)
	for {
		p.mu.Lock()
		if p.shut {
			p.mu.Unlock()
			return nil, fault.New(fault.Unready, "the replica is gone")
		}
		if p.pie.Take(owner, 1) {
			if ch := p.idle(); ch != nil {
				ch.owner = owner
				p.mu.Unlock()
				return ch, nil
			}
			if p.open < p.most {
				p.open++
				p.mu.Unlock()
				return p.dial(owner, end)
			}
			p.pie.Give(owner, 1)
		}
		w := make(chan struct{}, 1)
		p.wait = append(p.wait, w)
		p.mu.Unlock()
		select {
		case <-w:
		case <-tick.After(tick.Until(end)):
			return nil, fault.New(fault.Crowded, "no connection is free")
		}
	}
}

func (p *Pool) idle() *Channel {
	now := tick.Now()
	for len(p.free) > 0 {
		ch := p.free[len(p.free)-1]
		p.free = p.free[:len(p.free)-1]
		if now.Before(ch.expires) && !ch.killed.Load() {
			return ch
		}
		go ch.Kill()
	}
	return nil
}

func (p *Pool) dial(owner string, end tick.Moment) (*Channel, error) {
	c, err := p.d.DialReplica(p.addr, min(plate.ReplicaDial, tick.Until(end)))
	if err != nil {
		p.mu.Lock()
		p.open--
		p.pie.Give(owner, 1)
		p.signal()
		p.mu.Unlock()
		return nil, fault.Wrap(fault.Broken, err, "dial")
	}
	p.made.Inc()
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

// release ends an owner's use of a channel; the caller holds the pool.
func (p *Pool) release(ch *Channel) {
	if ch.owner != "" {
		p.pie.Give(ch.owner, 1)
		ch.owner = ""
	}
}

func (p *Pool) put(ch *Channel) {
	p.mu.Lock()
	p.release(ch)
	if p.shut {
		p.mu.Unlock()
		go ch.Kill()
		return
	}
	p.free = append(p.free, ch)
	p.signal()
	p.mu.Unlock()
}

func (p *Pool) gone(ch *Channel) {
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
	now := tick.Now()
	var old []*Channel
	for _, ch := range p.free {
		if !now.Before(ch.expires) {
			old = append(old, ch)
		}
	}
	p.mu.Unlock()
	for _, ch := range old {
		ch.Kill()
	}
}

// Flush closes the idle connections: after one was lost the others are in doubt, and the next inquiry dials before it sends.
func (p *Pool) Flush() {
	p.mu.Lock()
	free := append([]*Channel{}, p.free...)
	p.mu.Unlock()
	for _, ch := range free {
		ch.Kill()
	}
}

// Shut closes idle connections and gives out no more.
func (p *Pool) Shut() {
	p.mu.Lock()
	p.shut = true
	p.mu.Unlock()
	p.Flush()
}

// Back returns a channel that was got and not used.
func (ch *Channel) Back() { ch.pool.put(ch) }
