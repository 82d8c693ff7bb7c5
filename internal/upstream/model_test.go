package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/attempt"
)

// The model plays every scripted replica against the real connection and pool over in-memory connections
// on simulated time. A script decides how many bytes of a request are read, how many bytes of which
// answer are written, and how the connection goes on. What may be concluded is known from the script
// alone, never from the code under test.

const (
	modelPatience = 2 * time.Second  // a caller waits so long for an answer
	modelLate     = 10 * time.Second // a late replica writes the rest after that
)

// pipes hands out in-memory connections whose other ends are played by a script.
type pipes struct {
	play func(number int, c net.Conn)
	made int
}

// DialReplica connects.
func (p *pipes) DialReplica(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	p.made++
	number := p.made
	go func() {
		defer func() { _ = far.Close() }()
		p.play(number, far)
	}()
	return near, nil
}

func modelRequest(id string, events bool, body string) *Request {
	end := time.Now().Add(modelPatience)
	return &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{HeaderAttemptID: {id}, "User-Agent": {""}},
		Body: []byte(body), AttemptID: id, Events: events, NotAfter: end, Deadline: end,
	}
}

// result is what a caller saw of one exchange.
type result struct {
	state  attempt.State
	status int
	body   []byte
	events []string
	ended  bool
	fail   *Part
	err    error
}

// exchangeOnce sends a request and takes all parts of its answer, at most for modelPatience.
func exchangeOnce(c *Connection, r *Request) (out result) {
	answer, state, err := c.Send(r)
	out.state, out.err = state, err
	if err != nil {
		return out
	}
	defer answer.Close()
	late := time.NewTimer(modelPatience)
	defer late.Stop()
	for {
		p, ok := answer.Next(context.Background(), late.C)
		if !ok {
			return out
		}
		switch p.Kind {
		case PartHead:
			out.status = p.Status
		case PartBody:
			out.body = p.Bytes
		case PartEvent:
			out.events = append(out.events, string(p.Bytes))
		case PartEnd:
			out.ended, out.state = true, p.State
			return out
		case PartFailure:
			out.fail = &p
			return out
		}
	}
}

func get(t *testing.T, p *Pool) *Connection {
	c, err := p.Get(t.Context(), GetOptions{Owner: "o", Timeout: time.Second})
	require.NoError(t, err)
	return c
}

// requestBytes is how long a request is on the wire.
func requestBytes(r *Request) int {
	var b bytes.Buffer
	_ = r.http().Write(&b)
	return b.Len()
}

func readAll(c net.Conn, n int) bool {
	_, err := io.ReadFull(c, make([]byte, n))
	return err == nil
}

// TestRequest_CutAtEveryByte_StateIsKnown cuts the connection after each byte of a request, and with
// a body beyond one write.
func TestRequest_CutAtEveryByte_StateIsKnown(t *testing.T) {
	for _, body := range []string{"", "four", strings.Repeat("b", 9000)} {
		n := requestBytes(modelRequest("a", false, body))
		for k := 0; k <= n; k += max(1, (k/1000)*97) {
			synctest.Test(t, func(t *testing.T) {
				d := &pipes{play: func(_ int, c net.Conn) { readAll(c, k) }}
				p := NewPool("x", d, 2, &KeepAlive{}, &DialCounts{})
				defer p.Close()
				got := exchangeOnce(get(t, p), modelRequest("a", false, body))
				require.False(t, got.ended)
				switch {
				case k == 0:
					require.Equal(t, attempt.NotSent, got.state, "no byte left")
				case k < n:
					require.Equal(t, attempt.PartlySent, got.state, "byte %d of %d", k, n)
				default:
					require.Equal(t, attempt.Sent, got.state)
					require.True(t, got.fail.Reset)
				}
				require.Equal(t, k > 0, got.state.MayHaveRun())
				synctest.Wait()
				require.Zero(t, openOf(p), "a connection that failed is closed")
			})
		}
	}
}

func exchangeOnceEnded(t *testing.T, p *Pool, r *Request) bool {
	got := exchangeOnce(get(t, p), r)
	return got.ended
}

func freeOf(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

func openOf(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
