package rpc

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// Net is what a process reaches others through; tests put a simulated one here.
type Net interface {
	Dial(addr string, d clock.Duration) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the real network.
type TCP struct{}

// Dial connects, with a bound on how long unacknowledged bytes may wait.
func (TCP) Dial(addr string, d clock.Duration) (net.Conn, error) {
	x := net.Dialer{Timeout: d, KeepAlive: -1, Control: UserTimeout}
	return x.Dial("tcp4", addr)
}

// Listen accepts connections.
func (TCP) Listen(addr string) (net.Listener, error) {
	x := net.ListenConfig{KeepAlive: -1, Control: UserTimeout}
	return x.Listen(context.Background(), "tcp4", addr)
}

// UserTimeout sets TCP_USER_TIMEOUT on a socket.
func UserTimeout(_, _ string, c syscall.RawConn) error {
	_ = c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
	return nil
}

// Serve accepts channels until the scope ends.
func Serve(sc *task.Scope, ln net.Listener, h Handler) {
	go func() {
		<-sc.Done()
		_ = ln.Close()
	}()
	for {
		c, err := ln.Accept()
		if err != nil {
			if sc.Ended() || !clock.Rest(sc, beatEvery) {
				return
			}
			continue
		}
		Open(sc, c, h)
	}
}

// Lines holds one channel per address and dials when it is needed.
type Lines struct {
	sc  *task.Scope
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
func NewLines(sc *task.Scope, n Net, h Handler) *Lines {
	return &Lines{sc: sc, net: n, h: h, m: map[string]*line{}}
}

// Get gives the channel to an address. Whoever comes while it is being dialled shares that dial's result: a silent address never makes a queue.
func (l *Lines) Get(addr string) (*Channel, error) {
	l.mu.Lock()
	x := l.m[addr]
	if x == nil {
		x = &line{}
		l.m[addr] = x
	}
	if x.ch != nil && !x.ch.sc.Ended() {
		defer l.mu.Unlock()
		return x.ch, nil
	}
	if w := x.dialing; w != nil {
		l.mu.Unlock()
		<-w
		l.mu.Lock()
		defer l.mu.Unlock()
		if x.err != nil || x.ch == nil {
			return nil, errkind.New(errkind.Unready, "dial of %s failed", addr)
		}
		return x.ch, nil
	}
	w := make(chan struct{})
	x.dialing = w
	l.mu.Unlock()
	c, err := l.net.Dial(addr, constants.DialWait)
	l.mu.Lock()
	defer l.mu.Unlock()
	x.dialing, x.err = nil, err
	close(w)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unready, err, "dial")
	}
	x.ch = Open(l.sc, c, l.h)
	return x.ch, nil
}

// Call asks one address. A channel on which nothing came during a failed call is closed, so that the next call dials anew.
func (l *Lines) Call(addr string, n *Message, d clock.Duration) (*Message, error) {
	if addr == "" {
		return nil, errkind.New(errkind.Unready, "no address")
	}
	ch, err := l.Get(addr)
	if err != nil {
		return nil, err
	}
	a, err := ch.Call(n, d)
	if err != nil && ch.Quiet() >= d {
		ch.Close()
	}
	return a, err
}
