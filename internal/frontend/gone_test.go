package frontend

import (
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
)

// TestServer_ClientLeavesBehindPartOfItsNextRequest_IsSeen lets a client send a request and a part of the next one, and leave:
// the request's context must end then, so that nobody works on for it.
func TestServer_ClientLeavesBehindPartOfItsNextRequest_IsSeen(t *testing.T) {
	const leavesAfter = 400 * time.Millisecond
	for _, behind := range []int{0, 1, 5 << 10, 9 << 10, 30 << 10, 70 << 10} {
		t.Run(fmt.Sprint(behind, " bytes behind"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worked := make(chan time.Duration, 1)
				listener := newPipeListener()
				server := New(context.Background(), slog.New(slog.DiscardHandler), listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					begun := time.Now()
					select {
					case <-r.Context().Done():
					case <-time.After(time.Minute):
					}
					worked <- time.Since(begun)
				}))
				go server.Run()
				defer server.Close()
				near, far := net.Pipe()
				listener.conns <- far
				next := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("b", 100<<10))
				go func() { _, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+next[:behind]) }()
				time.Sleep(leavesAfter)
				_ = near.Close()
				require.Less(t, <-worked, leavesAfter+100*time.Millisecond)
			})
		})
	}
}
