package listen

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeNetwork fails to listen as often as it has errors, and its listener to accept.
type fakeNetwork struct {
	mu           sync.Mutex
	listenErrors []error
	acceptErrors []error
	listens      int
	conns        chan net.Conn
	closed       chan struct{}
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
}

func (n *fakeNetwork) Listen(string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listens++
	if len(n.listenErrors) > 0 {
		err := n.listenErrors[0]
		n.listenErrors = n.listenErrors[1:]
		return nil, &net.OpError{Op: "listen", Err: err}
	}
	return &fakeListener{network: n}, nil
}

type fakeListener struct {
	network *fakeNetwork
	once    sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	l.network.mu.Lock()
	failures := l.network.acceptErrors
	if len(failures) > 0 {
		l.network.acceptErrors = failures[1:]
		l.network.mu.Unlock()
		return nil, failures[0]
	}
	l.network.mu.Unlock()
	select {
	case conn := <-l.network.conns:
		return conn, nil
	case <-l.network.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() { close(l.network.closed) })
	return nil
}

func (*fakeListener) Addr() net.Addr { return &net.TCPAddr{Port: 7} }

func silent() *slog.Logger { return slog.New(slog.DiscardHandler) }

func TestOpen_AddressHeld_TakenOnceItIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		network.listenErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE}
		start := time.Now()
		l, err := Open(t.Context(), silent(), network, "front", "10.0.0.1:80")
		require.NoError(t, err)
		require.False(t, l.IsBound())
		require.Equal(t, "10.0.0.1:80", l.Addr().String())
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		network.conns <- server
		conn, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, server, conn)
		require.True(t, l.IsBound())
		require.Equal(t, 3*retryInterval, time.Since(start))
		require.NoError(t, l.Close())
	})
}

func TestOpen_AddressThatCanNeverBeHad_Fails(t *testing.T) {
	for _, failure := range []error{syscall.EACCES, syscall.EAFNOSUPPORT, errors.New("missing port in address")} {
		network := newFakeNetwork()
		network.listenErrors = []error{failure}
		_, err := Open(t.Context(), silent(), network, "front", "10.0.0.1:80")
		require.ErrorIs(t, err, failure)
		require.ErrorContains(t, err, "front")
	}
}

func TestAccept_ClosedWhileItWaitsForTheAddress_Ends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		for range 100 {
			network.listenErrors = append(network.listenErrors, syscall.EADDRINUSE)
		}
		l, err := Open(t.Context(), silent(), network, "front", "10.0.0.1:80")
		require.NoError(t, err)
		time.AfterFunc(5*retryInterval/2, func() { _ = l.Close() })
		_, err = l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, 3, network.listens)
	})
}

// TestAccept_FailureThatPasses_GoesOn guards against servers that stop to accept for good.
func TestAccept_FailureThatPasses_GoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		network.acceptErrors = []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EPROTO, errors.New("another")}
		l, err := Open(t.Context(), silent(), network, "front", "10.0.0.1:80")
		require.NoError(t, err)
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		network.conns <- server
		conn, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, server, conn)
		require.NoError(t, l.Close())
		_, err = l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	})
}

func TestAccept_AddressHeldForLong_LoggedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		network := newFakeNetwork()
		for range 250 { // 25 s
			network.listenErrors = append(network.listenErrors, syscall.EADDRINUSE)
		}
		l, err := Open(t.Context(), slog.New(slog.NewTextHandler(&lines, nil)), network, "front", "10.0.0.1:80")
		require.NoError(t, err)
		time.AfterFunc(time.Minute, func() { _ = l.Close() })
		_, err = l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, 3, strings.Count(lines.String(), "waiting for address"))
		require.Equal(t, 1, strings.Count(lines.String(), "address taken"))
	})
}
