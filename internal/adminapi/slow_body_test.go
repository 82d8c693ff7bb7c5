package adminapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// onePipe is a listener with one connection.
type onePipe struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *onePipe) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *onePipe) Close() error { close(l.closed); return nil }
func (*onePipe) Addr() net.Addr { return &net.TCPAddr{} }

// TestServer_BodySlowerThanItsBound_IsNotCalledInvalid sends half of a change and then nothing until the time for a body is
// over. The change was not seen to be invalid: 408 lets its caller go on to another member, 400 ends the call for good.
func TestServer_BodySlowerThanItsBound_IsNotCalledInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &onePipe{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: New(context.Background(), slog.New(slog.DiscardHandler), &fakeControl{here: true}, nil)}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		listener.conns <- far
		_, err := fmt.Fprint(near, "PUT /v1/config HTTP/1.1\r\nHost: h\r\nIf-Match: 5\r\nContent-Length: 4\r\n\r\n{}")
		require.NoError(t, err)
		_ = near.SetDeadline(time.Now().Add(time.Minute))
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	})
}
