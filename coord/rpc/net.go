package rpc

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/wait"

	"golang.org/x/sys/unix"

	"shaletrestle/internal/errkind"
)

// Net is what a process reaches others through; tests put a simulated one here.
type Net interface {
	Dial(addr string, d time.Duration) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the real network.
type TCP struct{}

// Dial connects, with a bound on how long unacknowledged bytes may wait.
func (TCP) Dial(addr string, d time.Duration) (net.Conn, error) {
	x := net.Dialer{Timeout: d, KeepAlive: -1, Control: setUserTimeout}
	return x.Dial("tcp4", addr)
}

// Listen accepts connections.
func (TCP) Listen(addr string) (net.Listener, error) {
	x := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout}
	return x.Listen(context.Background(), "tcp4", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	_ = c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
	return nil
}

// Serve accepts channels until the context ends.
func Serve(ctx context.Context, ln net.Listener, h Handler) {
	go func() {
		<-ctx.Done()
		_ = ln.Close()
	}()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || !wait.Sleep(ctx, beatEvery) {
				return
			}
			continue
		}
		Open(ctx, c, h)
	}
}

// Lines holds one channel per address and dials when it is needed.
type Pool struct {
	ctx context.Context
	net Net
	h   Handler
	mu  sync.Mutex
	m   map[string]*line
}

type line struct {
	ch      *Channel
	dialing chan struct{} // closed when the dial under way has ended
	err     error         // of the newest dial
}

// NewLines makes the set of channels of a process.
func NewPool(ctx context.Context, n Net, h Handler) *Pool {
	return &Pool{ctx: ctx, net: n, h: h, m: map[string]*line{}}
}

// Get gives the channel to an address. Whoever comes while it is being dialled shares that dial's result: a silent address never makes a queue.
func (l *Pool) Get(addr string) (*Channel, error) {
	l.mu.Lock()
	x := l.m[addr]
	if x == nil {
		x = &line{}
		l.m[addr] = x
	}
	if x.ch != nil && x.ch.ctx.Err() == nil {
		defer l.mu.Unlock()
		return x.ch, nil
	}
	if w := x.dialing; w != nil {
		l.mu.Unlock()
		<-w
		l.mu.Lock()
		defer l.mu.Unlock()
		if x.err != nil || x.ch == nil {
			return nil, errkind.New(errkind.Unavailable, "dial of %s failed", addr)
		}
		return x.ch, nil
	}
	w := make(chan struct{})
	x.dialing = w
	l.mu.Unlock()
	c, err := l.net.Dial(addr, DialTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	x.dialing, x.err = nil, err
	close(w)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "dial")
	}
	x.ch = Open(l.ctx, c, l.h)
	return x.ch, nil
}

// Call asks one address. A channel on which nothing came during a failed call is closed, so that the next call dials anew.
func (l *Pool) Call(addr string, n *Message, d time.Duration) (*Message, error) {
	if addr == "" {
		return nil, errkind.New(errkind.Unavailable, "no address")
	}
	ch, err := l.Get(addr)
	if err != nil {
		return nil, err
	}
	a, err := ch.Call(n, d)
	if err != nil && ch.IdleTime() >= d {
		ch.Close()
	}
	return a, err
}
