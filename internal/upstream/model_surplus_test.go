package upstream

import (
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

// Answers that come once more, after the one that was due.

// TestConnection_SurplusBytes_NeverAnswerNextRequest lets a replica send every beginning of an old answer again: with
// the answer, while the connection is idle, and after the next request came.
func TestConnection_SurplusBytes_NeverAnswerNextRequest(t *testing.T) {
	ok := answerText(200, seal, "body")
	refusal := answerText(503, "Not-Executed: 1\r\n", "full")
	for _, old := range []string{ok, refusal} {
		for _, same := range []bool{false, true} {
			for when := range 3 {
				for n := 1; n <= len(old); n++ {
					synctest.Test(t, func(t *testing.T) { playSurplus(t, old, old[:n], when, same) })
				}
			}
		}
	}
}

func playSurplus(t *testing.T, old, surplus string, when int, same bool) {
	id := "z"
	if same {
		id = "a"
	}
	first, next := modelRequest("a", false, ""), modelRequest(id, false, "")
	second := strings.Replace(answerText(200, seal, "second"), "Id: a", "Id: "+id, 1)
	d := &pipes{}
	var runs atomic.Int64
	d.play = func(number int, c net.Conn) {
		if number == 1 {
			if !readAll(c, requestBytes(first)) {
				return
			}
			text := old
			if when == 0 {
				text += surplus
			}
			_, _ = io.WriteString(c, text)
			if when == 1 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, surplus)
			}
		}
		if !readAll(c, requestBytes(next)) {
			return
		}
		runs.Add(1)
		if when == 2 && number == 1 {
			_, _ = io.WriteString(c, surplus)
		}
		_, _ = io.WriteString(c, second)
		_, _ = io.Copy(io.Discard, c)
	}
	p := NewPool("x", d, 4, &KeepAlive{}, &DialCounts{})
	defer p.Close()
	require.True(t, exchangeOnceEnded(t, p, first))
	time.Sleep(2 * time.Second)
	synctest.Wait()
	next.NotAfter = time.Now().Add(modelPatience)
	next.Deadline = next.NotAfter
	own := exchangeOnce(get(t, p), next)
	if own.err != nil {
		require.Equal(t, attempt.NotSent, own.state)
		own = exchangeOnce(get(t, p), next)
	}
	synctest.Wait()
	require.LessOrEqual(t, runs.Load(), int64(1))
	if own.ended {
		require.Equal(t, "second", string(own.body), "a surplus answer was taken for this one")
	} else {
		require.True(t, own.state.MayHaveRun())
	}
}
