package frontend

import (
	"bytes"
	"net"
	"strings"
	"sync"
)

// tap remembers the head of the inquiry being read, so that a doubtful framing can be looked at as it was sent.
type tap struct {
	net.Conn
	mu    sync.Mutex
	buf   []byte
	whole bool // the head is in buf: what follows it isn't kept
}

const tapMost = 4 << 10

var headEnd = []byte("\r\n\r\n")

func (t *tap) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.mu.Lock()
	if k := min(n, tapMost-len(t.buf)); k > 0 && !t.whole {
		if i := bytes.Index(b[:k], headEnd); i >= 0 {
			k = i + len(headEnd)
		}
		from := max(0, len(t.buf)-len(headEnd)+1)
		t.buf = append(t.buf, b[:k]...)
		t.whole = bytes.Contains(t.buf[from:], headEnd)
	}
	t.mu.Unlock()
	return n, err
}

func (t *tap) reset() {
	t.mu.Lock()
	t.buf, t.whole = t.buf[:0], false
	t.mu.Unlock()
}

// doubtful tells whether a head in chunks also named a length, or can't be seen whole.
func (t *tap) doubtful() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	head, _, whole := strings.Cut(strings.ToLower(string(t.buf)), string(headEnd))
	return !whole || strings.Contains(head, "\ncontent-length")
}
