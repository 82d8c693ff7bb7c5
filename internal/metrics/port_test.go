package metrics

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
)

// freePort gives a port that was free a moment ago.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func TestServePort_ServesMetricsAlone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	env := &settings.Settings{IP: "127.0.0.1", MetricsPort: freePort(t)}
	handler := func(w http.ResponseWriter, _ *http.Request) {
		Serve(w, []Sample{{Name: "a_total", Help: "A.", IsCounter: true, Value: 3}})
	}
	ServePort(ctx, slog.New(slog.DiscardHandler), rpc.TCP{}, env, handler)
	base := "http://127.0.0.1:" + strconv.Itoa(env.MetricsPort)
	response, err := http.Get(base + Path)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Contains(t, string(text), "a_total 3")
	response, err = http.Get(base + "/requests")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode)

	var lines bytes.Buffer
	ServePort(ctx, slog.New(slog.NewTextHandler(&lines, nil)), failingNet{refusingNet{t}, syscall.EACCES}, env, handler)
	require.Contains(t, lines.String(), "metrics port not served", "it can never be had")
}

// TestServePort_PortTaken_ServedOnceItIsFree guards against metrics that are missing for the whole life of a process.
func TestServePort_PortTaken_ServedOnceItIsFree(t *testing.T) {
	holder, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	env := &settings.Settings{IP: "127.0.0.1", MetricsPort: holder.Addr().(*net.TCPAddr).Port}
	handler := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	var lines bytes.Buffer
	ServePort(t.Context(), slog.New(slog.NewTextHandler(&lines, nil)), rpc.TCP{}, env, handler)
	require.Contains(t, lines.String(), "waiting for address")
	require.NoError(t, holder.Close())
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + holder.Addr().String() + Path)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusNoContent
	}, 30*time.Second, time.Millisecond)
}

// failingNet fails to listen.
type failingNet struct {
	refusingNet
	err error
}

func (n failingNet) Listen(string) (net.Listener, error) { return nil, n.err }

// refusingNet fails the test that uses it.
type refusingNet struct{ *testing.T }

func (n refusingNet) Dial(string, time.Duration) (net.Conn, error) {
	n.Error("dialled")
	return nil, net.ErrClosed
}

func (n refusingNet) Listen(string) (net.Listener, error) {
	n.Error("listened")
	return nil, net.ErrClosed
}

func TestServePort_NoPort_ListensNowhere(t *testing.T) {
	ServePort(context.Background(), slog.New(slog.DiscardHandler), refusingNet{t}, &settings.Settings{}, nil)
}
