package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/routing"
)

// chunkedRequest is a proper request whose body comes in chunks; extra are further header lines.
func chunkedRequest(body, extra string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", extra, len(body), body)
}

func plainRequest(body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ambiguousMark is what the handler of echoServer answers an ambiguous request.
const ambiguousMark = "ambiguous"

// echoServer serves connections: it answers a request with its body, or with ambiguousMark.
func echoServer(t *testing.T) (connect func() net.Conn) {
	t.Helper()
	listener := newPipeListener()
	server := New(context.Background(), slog.New(slog.DiscardHandler), listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if AmbiguousFraming(r) {
			body = []byte(ambiguousMark)
		}
		_, _ = w.Write(body)
	}))
	server.SetLimits(routing.Limits{MaxHeaderBytes: 16 << 10})
	go server.Run()
	t.Cleanup(server.Close)
	return func() net.Conn {
		near, far := net.Pipe()
		listener.conns <- far
		return near
	}
}

// answers sends bytes in pieces of a size and reads a number of answers.
func answers(t *testing.T, connection net.Conn, text string, piece, count int) []string {
	t.Helper()
	go func() {
		for len(text) > 0 {
			n := min(piece, len(text))
			if _, err := io.WriteString(connection, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	_ = connection.SetDeadline(time.Now().Add(time.Minute))
	reader := bufio.NewReader(connection)
	var got []string
	for range count {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		got = append(got, string(body))
	}
	return got
}

// TestServer_ProperChunkedRequests_AreNotAmbiguous holds that a request with a chunked body is taken as it is, whatever is
// sent in the same segment before it and however long its head is within the limit; and that one which names a length too
// is still seen.
func TestServer_ProperChunkedRequests_AreNotAmbiguous(t *testing.T) {
	pad := "X-Pad: " + strings.Repeat("p", 9<<10) + "\r\n"
	both := "Content-Length: 4\r\n"
	for _, x := range []struct {
		name string
		text string
		want []string
	}{
		{"behind a plain one", plainRequest("first") + chunkedRequest("second", ""), []string{"first", "second"}},
		{"behind a chunked one", chunkedRequest("first", "") + chunkedRequest("second", ""), []string{"first", "second"}},
		{"three in a row", chunkedRequest("one", "") + plainRequest("two") + chunkedRequest("three", ""), []string{"one", "two", "three"}},
		{"long head", chunkedRequest("body", pad), []string{"body"}},
		{"long head behind another", chunkedRequest("first", pad) + chunkedRequest("second", pad), []string{"first", "second"}},
		{"length in the body", chunkedRequest("\r\nContent-Length: 4\r\n\r\n", "") + chunkedRequest("second", ""), []string{"\r\nContent-Length: 4\r\n\r\n", "second"}},
		{"ambiguous", chunkedRequest("body", both), []string{ambiguousMark}},
		{"ambiguous with a long head", chunkedRequest("body", pad+both), []string{ambiguousMark}},
		{"ambiguous behind a proper one", chunkedRequest("first", "") + chunkedRequest("second", both), []string{"first", ambiguousMark}},
		{"proper behind an ambiguous one", chunkedRequest("first", both) + chunkedRequest("second", ""), []string{ambiguousMark, "second"}},
	} {
		for _, piece := range []int{1 << 20, 700, 13} {
			t.Run(fmt.Sprintf("%s in pieces of %d", x.name, piece), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					connection := echoServer(t)()
					defer func() { _ = connection.Close() }()
					require.Equal(t, x.want, answers(t, connection, x.text, piece, len(x.want)))
				})
			})
		}
	}
}
