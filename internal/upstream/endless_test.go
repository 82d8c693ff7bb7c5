package upstream

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// endless is a replica that writes a beginning and then a piece again and again, until its peer closes the connection.
type endless struct {
	beginning, piece string
	sent             int // bytes, once the connection is closed
}

func (e *endless) play(_ int, connection net.Conn) {
	if !readAll(connection, requestBytes(modelRequest("a", true, ""))) {
		return
	}
	n, err := connection.Write([]byte(e.beginning))
	e.sent += n
	block := bytes.Repeat([]byte(e.piece), 1+1000/len(e.piece))
	for err == nil {
		n, err = connection.Write(block)
		e.sent += n
	}
}

// playEndless has a request answered without end, and says how it failed and what was counted.
func playEndless(t *testing.T, e *endless) (*Part, *Pool) {
	t.Helper()
	pool := NewPool("x", &pipes{play: e.play}, 2, &KeepAlive{}, &DialCounts{})
	defer pool.Close()
	got := exchangeOnce(get(t, pool), modelRequest("a", true, ""))
	synctest.Wait()
	require.False(t, got.ended)
	require.NotNil(t, got.fail, "it fails at once, not at the deadline")
	require.Zero(t, openOf(pool), "the connection is closed")
	return got.fail, pool
}

const okHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + seal

func TestResponse_HeadWithoutEnd_FailsWithinItsLimit(t *testing.T) {
	for _, each := range []endless{
		{beginning: okHead + "Padding: ", piece: "x"},
		{beginning: okHead, piece: "Name: value\r\n"},
		{beginning: okHead, piece: "a:\r\n"},
		{beginning: okHead, piece: "Name: " + strings.Repeat("x", 80) + "\r\n"},
		{beginning: strings.Replace(okHead, "200", "500", 1), piece: "Name: value\r\n"},
		{beginning: "HTTP/1.1 200 ", piece: "x"},
		{beginning: "", piece: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	} {
		synctest.Test(t, func(t *testing.T) {
			failure, pool := playEndless(t, &each)
			require.Contains(t, failure.Cause, errHeadTooLarge.Error())
			require.Equal(t, []FailureCount{{ReasonHeadTooLarge, 1}}, pool.Failures())
			require.LessOrEqual(t, each.sent, maxHeadBytes+3*readBufferBytes)
		})
	}
}

func TestResponse_HeadWithoutEnd_ShortLinesFailWithinTheirNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		each := endless{beginning: okHead, piece: "a:\r\n"}
		_, pool := playEndless(t, &each)
		require.Equal(t, []FailureCount{{ReasonHeadTooLarge, 1}}, pool.Failures())
		require.LessOrEqual(t, each.sent, maxHeadLines*len(each.piece)+3*readBufferBytes)
	})
}

func TestResponse_LargestHead_IsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		padding := strings.Repeat("x", maxHeadBytes-len(okHead)-100)
		text := okHead + "Padding: " + padding + "\r\nContent-Length: 4\r\n\r\nbody"
		pool := NewPool("x", &pipes{play: func(_ int, c net.Conn) {
			readAll(c, requestBytes(modelRequest("a", false, "")))
			_, _ = c.Write([]byte(text))
		}}, 2, &KeepAlive{}, &DialCounts{})
		defer pool.Close()
		got := exchangeOnce(get(t, pool), modelRequest("a", false, ""))
		require.True(t, got.ended)
		require.Equal(t, "body", string(got.body))
	})
}

func TestResponse_SurplusBodyWithoutEnd_FailsWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		each := endless{beginning: "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 9999999999\r\n\r\n", piece: "x"}
		_, pool := playEndless(t, &each)
		require.Equal(t, []FailureCount{{ReasonSurplus, 1}}, pool.Failures())
		require.LessOrEqual(t, each.sent, maxSurplusBytes+3*readBufferBytes)
	})
}
