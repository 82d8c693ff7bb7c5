package frontend

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/routing"
)

// pipeListener is a listener whose connections a test makes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept gives the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (l *pipeListener) Close() error { close(l.closed); return nil }

// Addr is no real address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "test"} }

// roundTrip sends a request on a connection and reports whether it was answered.
func roundTrip(c net.Conn, br *bufio.Reader) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	a, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil
}

// TestServer_IdleTimeoutChanges_NewestCounts changes the limit while a connection is busy, and while it is idle.
func TestServer_IdleTimeoutChanges_NewestCounts(t *testing.T) {
	const short, long = 5 * time.Second, 25 * time.Second
	for _, test := range []struct {
		name    string
		from    time.Duration
		to      time.Duration
		changed time.Duration // into the idle time; 0: before it
		idle    time.Duration
		open    bool
	}{
		{"in time", short, short, 0, short - 1, true},
		{"too long", short, short, 0, short + 1, false},
		{"made longer before", short, long, 0, 8 * time.Second, true},
		{"made longer while idle", short, long, 3 * time.Second, 20 * time.Second, true},
		{"the longer one ends too", short, long, 3 * time.Second, long + 1, false},
		{"made shorter before", long, short, 0, short + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newPipeListener()
				server := New(context.Background(), slog.New(slog.DiscardHandler), listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(2 * long) // a busy connection is not idle
					w.WriteHeader(http.StatusOK)
				}))
				server.SetLimits(routing.Limits{IdleTimeout: test.from})
				go server.Run()
				defer server.Close()
				near, far := net.Pipe()
				defer func() { _ = near.Close() }()
				listener.conns <- far
				br := bufio.NewReader(near)
				require.True(t, roundTrip(near, br))
				time.Sleep(test.changed)
				server.SetLimits(routing.Limits{IdleTimeout: test.to})
				if test.changed == 0 {
					require.True(t, roundTrip(near, br))
				}
				time.Sleep(test.idle - test.changed)
				require.Equal(t, test.open, roundTrip(near, br))
			})
		})
	}
}
