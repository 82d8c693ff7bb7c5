package frontend

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// tap is a client's connection. It remembers the head of the request being read, so that a doubtful
// framing can be looked at as it was sent, and closes itself when it has rested too long.
type tap struct {
	net.Conn
	limit func() time.Duration // how long it may rest, as it is now
	mu    sync.Mutex
	buf   []byte
	whole bool // the head is in buf: what follows it isn't kept
	rests bool // between two requests
	since time.Time
	timer *time.Timer // nil before the first rest
}

const tapMost = 4 << 10

var headEnd = []byte("\r\n\r\n")

func (t *tap) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.mu.Lock()
	if n > 0 {
		t.wake()
	}
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

// state follows what the server says of the connection.
func (t *tap) state(s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s != http.StateIdle {
		t.wake()
		return
	}
	t.rests, t.since = true, time.Now()
	if t.timer == nil {
		t.timer = time.AfterFunc(t.limit(), t.overdue)
		return
	}
	t.timer.Reset(t.limit())
}

// wake ends a rest; the caller holds the tap.
func (t *tap) wake() {
	if t.rests {
		t.rests = false
		t.timer.Stop()
	}
}

// overdue closes a connection that has rested for as long as the limit now in force allows.
func (t *tap) overdue() {
	t.mu.Lock()
	left := t.limit() - time.Since(t.since)
	if !t.rests || left > 0 {
		if t.rests {
			t.timer.Reset(left)
		}
		t.mu.Unlock()
		return
	}
	t.rests = false
	t.mu.Unlock()
	_ = t.Close()
}

// Close ends the connection and its timer.
func (t *tap) Close() error {
	t.mu.Lock()
	t.wake()
	t.mu.Unlock()
	return t.Conn.Close()
}
