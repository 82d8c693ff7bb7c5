package frontend

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/atomic"
)

// lateConn gives what was sent before it was closed to a Read that was under way then, as a socket may.
type lateConn struct {
	net.Conn
	incoming chan []byte
}

func (c *lateConn) Read(buffer []byte) (int, error) { return copy(buffer, <-c.incoming), nil }

func (*lateConn) Close() error                    { return nil }
func (*lateConn) SetReadDeadline(time.Time) error { return nil }

// fixedLimits are limits that stay.
func fixedLimits(idle time.Duration) func() *connLimits {
	limits := &connLimits{headBytes: 16 << 10, headTimeout: time.Hour, idleTimeout: idle}
	return func() *connLimits { return limits }
}

const orderRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestClientConn_BytesAndIdleEndInAnyOrder_ClosedOrHandedOut guards against a request that is passed on by a connection which
// was closed as idle, and against one that is closed although a request has begun.
func TestClientConn_BytesAndIdleEndInAnyOrder_ClosedOrHandedOut(t *testing.T) {
	const idle = 5 * time.Second
	for _, test := range []struct {
		name  string
		comes time.Duration // when the Read gives the bytes, after the connection became idle
		want  bool          // they are handed out
	}{
		{"before the idle time ends", idle - time.Millisecond, true},
		{"after it has ended", idle + time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := &lateConn{incoming: make(chan []byte)}
				conn := newClientConn(inner, fixedLimits(idle), &atomic.Int64{})
				conn.setState(http.StateIdle)
				time.AfterFunc(test.comes, func() { inner.incoming <- []byte(orderRequest) })
				buffer := make([]byte, 100)
				n, err := conn.Read(buffer)
				time.Sleep(2 * idle)
				require.Equal(t, !test.want, conn.wasClosed())
				if test.want {
					require.NoError(t, err)
					require.Equal(t, orderRequest, string(buffer[:n]))
					return
				}
				require.ErrorIs(t, err, net.ErrClosed)
				require.Zero(t, n)
			})
		})
	}
}

// TestClientConn_KeptBytesOfAClosedConnection_AreNotHandedOut guards the same for what was read ahead.
func TestClientConn_KeptBytesOfAClosedConnection_AreNotHandedOut(t *testing.T) {
	conn := newClientConn(&lateConn{}, fixedLimits(time.Hour), &atomic.Int64{})
	conn.mu.Lock()
	conn.keep([]byte(orderRequest))
	conn.isClosed = true
	conn.mu.Unlock()
	n, err := conn.Read(make([]byte, 100))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, n)
}

// TestServer_RequestOfAConnectionThatWasClosed_IsNotPassedOn guards against a shutdown that closes a connection as idle while
// its next request is being read.
func TestServer_RequestOfAConnectionThatWasClosed_IsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		passedOn := 0
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := New(ctx, slog.New(slog.DiscardHandler), listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			passedOn++
			w.WriteHeader(http.StatusOK)
		}))
		var conn *clientConn
		follow := server.http.ConnState
		server.http.ConnState = func(c net.Conn, state http.ConnState) {
			conn = c.(*clientConn)
			follow(c, state)
		}
		go server.Run()
		client, inner := net.Pipe()
		listener.conns <- inner
		_, err := io.WriteString(client, orderRequest[:len(orderRequest)-2]) // the server has begun to read it
		require.NoError(t, err)
		synctest.Wait()
		conn.mu.Lock()
		conn.isClosed = true
		conn.mu.Unlock()
		go func() { _, _ = io.WriteString(client, orderRequest[len(orderRequest)-2:]) }()
		_, err = io.ReadAll(client)
		require.NoError(t, err)
		require.Zero(t, passedOn)
		server.Close()
	})
}
