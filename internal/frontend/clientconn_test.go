package frontend

import (
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// chunkedConn is a connection whose reads give few bytes each.
type chunkedConn struct {
	net.Conn
	unread []byte
	random *rand.Rand
}

// Read gives up to forty bytes.
func (c *chunkedConn) Read(b []byte) (int, error) {
	n := min(len(b), len(c.unread), 1+c.random.IntN(40))
	copy(b, c.unread[:n])
	c.unread = c.unread[n:]
	return n, nil
}

// TestClientConn_HeadInAnyChunks_KeptWithoutBody also sees that a head over the limit counts as ambiguous.
func TestClientConn_HeadInAnyChunks_KeptWithoutBody(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 1))
	for range 500 {
		head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		double := random.IntN(2) == 0
		if double {
			head += "Content-LENGTH: 5\r\n"
		}
		head += strings.Repeat("X-Pad: y\r\n", random.IntN(200))
		body := strings.Repeat("\r\ncontent-length: 9\r\n\r\n", 300)
		conn := &clientConn{Conn: &chunkedConn{unread: []byte(head + "\r\n" + body), random: random}}
		for range 2 {
			b := make([]byte, 4096)
			for {
				if n, _ := conn.Read(b); n == 0 {
					break
				}
			}
			require.Equal(t, double, conn.ambiguous())
			require.Less(t, len(conn.head), len(head)+2+40)
			conn.reset()
			require.True(t, conn.ambiguous(), "nothing was seen yet")
			conn.Conn.(*chunkedConn).unread = []byte(head + "\r\n" + body)
		}
	}
	conn := &clientConn{Conn: &chunkedConn{unread: []byte(strings.Repeat("x", 2*headLimit) + "\r\n\r\n"), random: random}}
	for range 2 * headLimit {
		_, _ = conn.Read(make([]byte, 40))
	}
	require.True(t, conn.ambiguous(), "a head that is not complete")
	require.Len(t, conn.head, headLimit)
}
