package listen

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/wait"
)

const (
	// retryInterval is the time between two tries to take an address.
	retryInterval = 100 * time.Millisecond
	// acceptPause is the wait after an accept that failed.
	acceptPause = 20 * time.Millisecond
	// warnInterval is the time between two log lines about one address.
	warnInterval = 10 * time.Second
)

// Network opens listeners.
type Network interface {
	Listen(address string) (net.Listener, error)
}

// Listener accepts connections at one address. Accept is called by one goroutine at a time; the other methods may be called
// concurrently.
type Listener struct {
	ctx     context.Context // ends with Close, at the latest with the process
	cancel  context.CancelFunc
	log     *slog.Logger
	network Network
	address string
	bound   chan struct{} // closed once the address is taken

	mu    sync.Mutex
	inner net.Listener // nil: the address is not taken yet

	warnedAt time.Time // of Accept
}

// Open listens at an address, until the context ends. If somebody else holds the address, or it is not there yet, the
// Listener takes it as soon as it can: Accept waits for that. The purpose names the address in logs. An error says that
// waiting would not help: the address is malformed, or this process may never have it.
func Open(ctx context.Context, log *slog.Logger, network Network, purpose, address string) (*Listener, error) {
	inner, err := network.Listen(address)
	if err != nil && !mayPass(err) {
		return nil, fmt.Errorf("%s: %w", purpose, err)
	}
	l := &Listener{
		log:     log.With("part", "listen", "purpose", purpose, "address", address),
		network: network,
		address: address,
		bound:   make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	if err == nil {
		l.take(inner)
		return l, nil
	}
	l.warnWaiting(err)
	return l, nil
}

// mayPass reports whether an address that can't be listened at now may be free later.
func mayPass(err error) bool {
	for _, passing := range []error{
		syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Bound is closed once the address is taken.
func (l *Listener) Bound() <-chan struct{} { return l.bound }

// IsBound reports whether the address is taken.
func (l *Listener) IsBound() bool {
	select {
	case <-l.bound:
		return true
	default:
		return false
	}
}

// Accept waits for the address and then for the next connection. A failed accept is tried again after a pause; the only
// error is net.ErrClosed, after Close.
func (l *Listener) Accept() (net.Conn, error) {
	inner := l.awaitAddress()
	for inner != nil {
		conn, err := inner.Accept()
		if err == nil {
			return conn, nil
		}
		if l.ctx.Err() != nil {
			break
		}
		if l.warnsNow() {
			l.log.Warn("cannot accept", "error", err.Error())
		}
		wait.Sleep(l.ctx, acceptPause)
	}
	return nil, net.ErrClosed
}

// awaitAddress takes the address as soon as it can be had; nil after Close.
func (l *Listener) awaitAddress() net.Listener {
	begun := time.Now()
	for waited := false; ; waited = true {
		if inner := l.current(); inner != nil {
			if waited {
				l.log.Info("address taken", "waited_ms", time.Since(begun).Milliseconds())
			}
			return inner
		}
		if !wait.Sleep(l.ctx, retryInterval) {
			return nil
		}
		inner, err := l.network.Listen(l.address)
		if err != nil {
			l.warnWaiting(err)
			continue
		}
		l.take(inner)
	}
}

func (l *Listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// take makes a listener the one in use, until the context ends.
func (l *Listener) take(inner net.Listener) {
	l.mu.Lock()
	l.inner = inner
	l.mu.Unlock()
	close(l.bound)
	context.AfterFunc(l.ctx, func() { _ = inner.Close() })
}

func (l *Listener) warnWaiting(err error) {
	if l.warnsNow() {
		l.log.Warn("waiting for address", "error", err.Error())
	}
}

// warnsNow reports whether a line may be logged, once each warnInterval.
func (l *Listener) warnsNow() bool {
	if time.Since(l.warnedAt) < warnInterval {
		return false
	}
	l.warnedAt = time.Now()
	return true
}

// Close gives the address up. Connections that were accepted stay.
func (l *Listener) Close() error {
	l.cancel()
	if inner := l.current(); inner != nil {
		_ = inner.Close() // now, and not a moment later
	}
	return nil
}

// Addr is the address that clients connect to.
func (l *Listener) Addr() net.Addr {
	if inner := l.current(); inner != nil {
		return inner.Addr()
	}
	return address(l.address)
}

// address is one that is not taken yet.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
