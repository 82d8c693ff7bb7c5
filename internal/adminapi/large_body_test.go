package adminapi

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendSlowly sends a change with a large body in pieces, as over a link with small windows, and reads the answer only once
// all was sent. It gives the status; 0 if the connection was reset before.
func sendSlowly(t *testing.T, address string, size int) int {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(connection, "PUT /v1/config HTTP/1.1\r\nHost: h\r\nIf-Match: 5\r\nContent-Length: %d\r\n\r\n", size)
	require.NoError(t, err)
	piece := bytes.Repeat([]byte("x"), 64<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := connection.Write(piece[:min(len(piece), size-sent)]); err != nil {
			return 0
		}
		time.Sleep(time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestServer_LargeBodyAtAnotherMember_GetsTheRedirect sends changes with bodies of up to 4 MB to a member that is not
// primary: their callers must get the answer that says whom to ask, not a reset connection.
func TestServer_LargeBodyAtAnotherMember_GetsTheRedirect(t *testing.T) {
	control := &fakeControl{primary: "10.0.0.1:80"}
	server := httptest.NewServer(New(context.Background(), slog.New(slog.DiscardHandler), control, nil))
	defer server.Close()
	for _, size := range []int{1 << 10, 200 << 10, 600 << 10, 4 << 20} {
		require.Equal(t, http.StatusTemporaryRedirect, sendSlowly(t, server.Listener.Addr().String(), size), "%d bytes", size)
	}
	control.set("", false)
	require.Equal(t, http.StatusServiceUnavailable, sendSlowly(t, server.Listener.Addr().String(), 2<<20), "no primary is known")
}

// TestServer_BodyOverTheLimit_IsCalledTooLarge sends a change that is larger than any configuration may be.
func TestServer_BodyOverTheLimit_IsCalledTooLarge(t *testing.T) {
	control := &fakeControl{here: true}
	response := ask(control, http.MethodPut, "/v1/config", "5", strings.Repeat("x", MaxConfigurationBytes+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.Code)
	require.Empty(t, control.got)
}
