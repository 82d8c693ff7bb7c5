package frontend

import (
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pieces is a connection that gives bytes in pieces.
type pieces struct {
	net.Conn
	left []byte
	r    *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	n := min(len(b), len(p.left), 1+p.r.IntN(40))
	copy(b, p.left[:n])
	p.left = p.left[n:]
	return n, nil
}

func TestATapSeesTheHeadHoweverItComesAndKeepsNoBody(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 1))
	for range 500 {
		head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		double := r.IntN(2) == 0
		if double {
			head += "Content-LENGTH: 5\r\n"
		}
		head += strings.Repeat("X-Pad: y\r\n", r.IntN(200))
		body := strings.Repeat("\r\ncontent-length: 9\r\n\r\n", 300)
		tp := &tap{Conn: &pieces{left: []byte(head + "\r\n" + body), r: r}}
		for range 2 {
			b := make([]byte, 4096)
			for {
				if n, _ := tp.Read(b); n == 0 {
					break
				}
			}
			require.Equal(t, double, tp.doubtful())
			require.Less(t, len(tp.buf), len(head)+2+40)
			tp.reset()
			require.True(t, tp.doubtful(), "nothing was seen yet")
			tp.Conn.(*pieces).left = []byte(head + "\r\n" + body)
		}
	}
	tp := &tap{Conn: &pieces{left: []byte(strings.Repeat("x", 2*tapMost) + "\r\n\r\n"), r: r}}
	for range 2 * tapMost {
		_, _ = tp.Read(make([]byte, 40))
	}
	require.True(t, tp.doubtful(), "a head that can't be seen whole")
	require.Len(t, tp.buf, tapMost)
}
