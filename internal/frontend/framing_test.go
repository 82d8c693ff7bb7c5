package frontend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
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
		{"long target", strings.Replace(chunkedRequest("body", ""), "/x", "/x?"+strings.Repeat("q", 3<<10), 1) + chunkedRequest("second", ""), []string{"body", "second"}},
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

// consumed reads one request by net/http and says where it ends; false if it is malformed.
func consumed(data []byte) (end int, chunked, ok bool) {
	source := bytes.NewReader(data)
	reader := bufio.NewReaderSize(source, 64<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return 0, false, false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return 0, false, false
	}
	return len(data) - source.Len() - reader.Buffered(), len(request.TransferEncoding) > 0, true
}

// checkFraming compares where a request ends with what net/http says, in pieces of any size.
func checkFraming(t *testing.T, data []byte, random *rand.Rand) {
	t.Helper()
	end, chunked, ok := consumed(data)
	if !ok {
		return
	}
	var f framing
	taken := 0
	for taken < len(data) && f.state != messageComplete {
		piece := data[taken : taken+1+random.IntN(len(data)-taken)]
		n := f.advance(piece)
		taken += n
		if n < len(piece) {
			require.Equal(t, messageComplete, f.state)
		}
	}
	if f.ambiguous() {
		return // it is refused if it is chunked
	}
	require.Equal(t, messageComplete, f.state, "%q", data)
	require.Equal(t, end, taken, "%q", data)
	require.Equal(t, chunked, f.chunked, "%q", data)
}

// randomRequest makes a proper request, with what delimits its body written in many ways.
func randomRequest(random *rand.Rand) string {
	body := strings.Repeat("0\r\n\r\nPOST / HTTP/1.1\r\n", random.IntN(40))
	target := "/" + strings.Repeat("x", random.IntN(2*linePrefixLimit))
	head := "POST " + target + []string{" HTTP/1.1\r\nHost: h\r\n", " HTTP/1.1\nHost: h\n"}[random.IntN(2)]
	head += strings.Repeat("X-Pad: content-length: 3\r\n", random.IntN(30))
	name := func(text string) string {
		return []string{text, strings.ToLower(text), strings.ToUpper(text)}[random.IntN(3)] + ":" + strings.Repeat(" ", random.IntN(3))
	}
	if random.IntN(2) == 0 {
		return head + name("Content-Length") + fmt.Sprint(len(body)) + "\r\n\r\n" + body
	}
	text := head + name("Transfer-Encoding") + "chunked\r\n\r\n"
	for len(body) > 0 {
		n := 1 + random.IntN(len(body))
		text += fmt.Sprintf([]string{"%x", "%X", "0%x", "%x;a=b"}[random.IntN(4)], n) + "\r\n" + body[:n] + "\r\n"
		body = body[n:]
	}
	return text + "0\r\n" + strings.Repeat("X-Trailer: 1\r\n", random.IntN(3)) + "\r\n"
}

func TestFraming_ProperRequests_EndWhereNetHTTPEndsThem(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	for range 3000 {
		text := randomRequest(random) + randomRequest(random)
		_, _, ok := consumed([]byte(text))
		require.True(t, ok, "%q", text)
		checkFraming(t, []byte(text), random)
		var f framing
		f.advance([]byte(text))
		require.False(t, f.ambiguous(), "%q", text)
	}
}

// FuzzFraming holds that a request that net/http takes ends where the connection takes it to end, or is known to be ambiguous.
func FuzzFraming(f *testing.F) {
	f.Add([]byte(chunkedRequest("body", "") + plainRequest("next")))
	f.Add([]byte(plainRequest("body") + chunkedRequest("next", "")))
	f.Add([]byte("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nContent-Length: 1\nContent-Length: 1\n\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkFraming(t, data, rand.New(rand.NewPCG(1, uint64(len(data)))))
	})
}
