package frontend

import (
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/atomic"
)

// chunkedConn is a connection whose reads give few bytes each.
type chunkedConn struct {
	net.Conn
	unread []byte
	random *rand.Rand
	closed bool
}

// Read gives up to forty bytes; at the end, none.
func (c *chunkedConn) Read(b []byte) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	n := min(len(b), len(c.unread), 1+c.random.IntN(40))
	copy(b, c.unread[:n])
	c.unread = c.unread[n:]
	if n == 0 {
		return 0, net.ErrClosed
	}
	return n, nil
}

// SetReadDeadline does nothing: its reads never wait.
func (c *chunkedConn) SetReadDeadline(time.Time) error { return nil }

// Close ends it.
func (c *chunkedConn) Close() error { c.closed = true; return nil }

// readRequest reads what a connection gives of the present request.
func readRequest(conn *clientConn) string {
	var text []byte
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		text = append(text, buffer[:n]...)
		if err != nil {
			return string(text)
		}
		conn.mu.Lock()
		complete := conn.framing.state == messageComplete
		conn.mu.Unlock()
		if complete {
			return string(text)
		}
	}
}

// TestClientConn_RequestsInAnyPieces_OneAtATime sends two requests, with heads of up to 2 kB and bodies that look like heads,
// in pieces of any size, and reads them one after the other: each is given complete and alone, and is ambiguous only if it
// names a length beside its chunks.
func TestClientConn_RequestsInAnyPieces_OneAtATime(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 1))
	for range 500 {
		var requests []string
		var ambiguous []bool
		for range 2 {
			both := random.IntN(2) == 0
			extra := strings.Repeat("X-Pad: y\r\n", random.IntN(200))
			if both {
				extra += "Content-LENGTH: 5\r\n"
			}
			requests = append(requests, chunkedRequest(strings.Repeat("\r\ncontent-length: 9\r\n\r\n", 1+random.IntN(300)), extra))
			ambiguous = append(ambiguous, both)
		}
		var ahead atomic.Int64
		inner := &chunkedConn{unread: []byte(requests[0] + requests[1]), random: random}
		conn := newClientConn(inner, fixedLimits(time.Hour), &ahead)
		for i, want := range requests {
			require.Equal(t, want, readRequest(conn))
			require.Equal(t, ambiguous[i], conn.ambiguous())
			conn.mu.Lock()
			conn.endRequest()
			conn.mu.Unlock()
		}
		require.NoError(t, conn.Close())
		require.Zero(t, ahead.Load(), "what is kept is counted")
	}
}

// TestClientConn_MuchBehindARequest_KeptWithinLimits reads ahead of a request that is being served: no more than the limits
// are kept, the rest stays unread, and all of it is given afterwards.
func TestClientConn_MuchBehindARequest_KeptWithinLimits(t *testing.T) {
	behind := plainRequest(strings.Repeat("b", 3*connectionAheadLimit))
	for _, x := range []struct {
		name         string
		keptByOthers int64
		limit        int64
	}{
		{"of the connection", 0, connectionAheadLimit},
		{"of all connections", totalAheadLimit - 2*aheadReadBytes, 2 * aheadReadBytes},
	} {
		t.Run(x.name, func(t *testing.T) {
			var ahead atomic.Int64
			ahead.Add(x.keptByOthers)
			inner := &chunkedConn{unread: []byte(plainRequest("a") + behind), random: rand.New(rand.NewPCG(8, 2))}
			conn := newClientConn(inner, fixedLimits(time.Hour), &ahead)
			require.Equal(t, plainRequest("a"), readRequest(conn))
			watched := make(chan error)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				watched <- err
			}()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			require.Error(t, <-watched, "the watch ends with its deadline")
			kept := ahead.Load() - x.keptByOthers
			require.GreaterOrEqual(t, kept, x.limit)
			require.Less(t, kept, x.limit+aheadReadBytes)
			conn.mu.Lock()
			conn.endRequest()
			conn.mu.Unlock()
			require.Equal(t, behind, readRequest(conn))
			require.Equal(t, x.keptByOthers, ahead.Load())
		})
	}
}
