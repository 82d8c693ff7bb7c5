package frontend

import (
	"bufio"
	"context"
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

// withConnection serves one connection, on which a request has been answered, and has a test go on with it.
func withConnection(t *testing.T, limits routing.Limits, test func(t *testing.T, server *Server, client net.Conn, answers *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := New(ctx, slog.New(slog.DiscardHandler), listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
		}))
		server.SetLimits(limits)
		go server.Run()
		client, inner := net.Pipe()
		listener.conns <- inner
		answers := bufio.NewReader(client)
		require.True(t, roundTrip(client, answers))
		test(t, server, client, answers)
		_ = client.Close()
		server.Close()
	})
}

// statusOf sends bytes and gives the status that is answered; 0: the connection ends without an answer.
func statusOf(client net.Conn, answers *bufio.Reader, text string) int {
	go func() { _, _ = io.WriteString(client, text) }()
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

func headOf(bytes int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("x", bytes) + "\r\n\r\n"
}

// TestServer_HeaderLimitChanges_KeptConnectionsFollow guards against connections that stay at an older max_header_bytes.
func TestServer_HeaderLimitChanges_KeptConnectionsFollow(t *testing.T) {
	const small, large = 16 << 10, 64 << 10
	for _, test := range []struct {
		name       string
		from, to   int
		head, want int
	}{
		{"raised", small, large, 40 << 10, http.StatusOK},
		{"lowered", large, small, 40 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"unchanged, within", small, small, 15 << 10, http.StatusOK},
		{"unchanged, over", small, small, 30 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			withConnection(t, routing.Limits{MaxHeaderBytes: test.from}, func(t *testing.T, server *Server, client net.Conn, answers *bufio.Reader) {
				server.SetLimits(routing.Limits{MaxHeaderBytes: test.to})
				require.Equal(t, test.want, statusOf(client, answers, headOf(test.head)))
			})
		})
	}
}

// TestServer_HeaderLimitRaised_PipelinedRequestsFollow sends two requests at once on the older connection.
func TestServer_HeaderLimitRaised_PipelinedRequestsFollow(t *testing.T) {
	withConnection(t, routing.Limits{MaxHeaderBytes: 16 << 10}, func(t *testing.T, server *Server, client net.Conn, answers *bufio.Reader) {
		server.SetLimits(routing.Limits{MaxHeaderBytes: 64 << 10})
		require.Equal(t, http.StatusOK, statusOf(client, answers, headOf(40<<10)+headOf(50<<10)))
		answer, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
	})
}

// TestServer_HeaderTimeoutChanges_KeptConnectionsFollow guards against connections that stay at an older header_timeout_ms.
func TestServer_HeaderTimeoutChanges_KeptConnectionsFollow(t *testing.T) {
	const short, long = 3 * time.Second, 10 * time.Second
	for _, test := range []struct {
		name           string
		from, to       time.Duration
		changesAt      time.Duration // after the first byte of the head
		pause          time.Duration // between the first and the last byte
		wantIsAnswered bool
	}{
		{"raised before the head", short, long, -time.Second, 5 * time.Second, true},
		{"lowered before the head", long, short, -time.Second, 5 * time.Second, false},
		{"raised while the head comes", short, long, time.Second, 5 * time.Second, true},
		{"unchanged, within", short, short, -time.Second, 2 * time.Second, true},
		{"unchanged, over", short, short, -time.Second, 4 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withConnection(t, routing.Limits{HeaderTimeout: test.from}, func(t *testing.T, server *Server, client net.Conn, answers *bufio.Reader) {
				time.AfterFunc(time.Second+test.changesAt, func() { server.SetLimits(routing.Limits{HeaderTimeout: test.to}) })
				time.Sleep(time.Second)
				head := headOf(10)
				_, err := io.WriteString(client, head[:4])
				require.NoError(t, err)
				time.Sleep(test.pause)
				require.Equal(t, test.wantIsAnswered, statusOf(client, answers, head[4:]) == http.StatusOK)
			})
		})
	}
}

// TestServer_HeadThatNeverEnds_IsNotKept guards against memory that a head takes whose framing is not known.
func TestServer_HeadThatNeverEnds_IsNotKept(t *testing.T) {
	for _, beginning := range []string{"GET / HTTP/1.1\r\nContent-Length: x\r\nP: ", "GET /"} {
		withConnection(t, routing.Limits{MaxHeaderBytes: 16 << 10}, func(t *testing.T, _ *Server, client net.Conn, answers *bufio.Reader) {
			written := make(chan int, 1)
			go func() {
				n, _ := io.WriteString(client, beginning+strings.Repeat("x", 4<<20))
				written <- n
			}()
			_, _ = io.Copy(io.Discard, answers)
			require.Less(t, <-written, 1<<19)
		})
	}
}
