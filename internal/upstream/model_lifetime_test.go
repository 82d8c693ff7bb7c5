package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/attempt"
)

// The life of a connection: early answers, frozen senders, closing and waiting.

// TestConnection_EarlyResponse_NotFreedWhileWritten lets a replica answer before it has read the body.
func TestConnection_EarlyResponse_NotFreedWhileWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("b", 20000)
		first := modelRequest("a", false, body)
		n := requestBytes(first)
		d := &pipes{play: func(_ int, c net.Conn) {
			readAll(c, n-len(body))
			_, _ = io.WriteString(c, answerText(503, "Not-Executed: 1\r\n", "full"))
			time.Sleep(time.Second)
			readAll(c, len(body))
			_, _ = io.Copy(io.Discard, c)
		}}
		p := NewPool("x", d, 1, &KeepAlive{}, &DialCounts{})
		defer p.Close()
		got := make(chan result, 1)
		c := get(t, p)
		go func() { got <- exchangeOnce(c, first) }()
		time.Sleep(time.Second / 2)
		synctest.Wait()
		require.Zero(t, freeOf(p), "its request is still being written")
		require.Equal(t, attempt.NotExecuted, (<-got).state)
		require.Equal(t, 1, freeOf(p))
	})
}

// stalled is a connection whose owner is frozen between its last look at the clock outside and the write.
type stalled struct {
	net.Conn
	freeze time.Duration
}

// SetWriteDeadline comes right before the write.
func (s *stalled) SetWriteDeadline(time.Time) error {
	time.Sleep(s.freeze)
	return s.Conn.SetWriteDeadline(time.Time{})
}

type stalledDialer struct {
	pipes
	freeze time.Duration
}

// DialReplica connects.
func (s *stalledDialer) DialReplica(addr string, d time.Duration) (net.Conn, error) {
	c, err := s.pipes.DialReplica(addr, d)
	return &stalled{Conn: c, freeze: s.freeze}, err
}

// TestConnection_FrozenPastNotAfter_SendsNothing freezes the sender for 17 s right before its first byte.
func TestConnection_FrozenPastNotAfter_SendsNothing(t *testing.T) {
	for _, freeze := range []time.Duration{0, modelPatience - 1, modelPatience, 17 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var came atomic.Int64
			d := &stalledDialer{freeze: freeze}
			d.play = func(_ int, c net.Conn) {
				n, _ := c.Read(make([]byte, 4096))
				came.Add(int64(n))
			}
			p := NewPool("x", d, 1, &KeepAlive{}, &DialCounts{})
			defer p.Close()
			got := exchangeOnce(get(t, p), modelRequest("a", false, ""))
			synctest.Wait()
			if freeze < modelPatience {
				require.Positive(t, came.Load())
				return
			}
			require.Zero(t, came.Load(), "frozen for %s", freeze)
			require.Equal(t, attempt.NotSent, got.state)
			require.ErrorIs(t, got.err, ErrTooLate)
		})
	}
}

// TestPool_ClosedDuringResponse_CloseNeverOvertakesEnd takes the pool's interest away at every step of an answer.
func TestPool_ClosedDuringResponse_CloseNeverOvertakesEnd(t *testing.T) {
	ok := answerText(200, seal, "body")
	for _, shut := range []bool{false, true} {
		for n := range len(ok) {
			synctest.Test(t, func(t *testing.T) {
				first := modelRequest("a", false, "")
				d := &pipes{}
				p := NewPool("x", d, 1, &KeepAlive{}, &DialCounts{})
				d.play = func(_ int, c net.Conn) {
					readAll(c, requestBytes(first))
					_, _ = io.WriteString(c, ok[:n])
					if shut {
						p.Close()
					} else {
						p.SetLimit(0)
					}
					_, _ = io.WriteString(c, ok[n:])
					_, _ = io.Copy(io.Discard, c)
				}
				require.True(t, exchangeOnceEnded(t, p, first))
				synctest.Wait()
				require.Zero(t, openOf(p))
			})
		}
	}
}

// TestPool_Get_ClientGone_WaitEnds frees what a gone client waited for.
func TestPool_Get_ClientGone_WaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("x", &pipes{play: func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) }}, 1, &KeepAlive{}, &DialCounts{})
		defer p.Close()
		defer get(t, p).Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		at := time.Now()
		_, err := p.Get(ctx, GetOptions{Owner: "o", Timeout: time.Hour})
		require.ErrorIs(t, err, ErrAbandoned)
		require.Equal(t, time.Second, time.Since(at))
	})
}
