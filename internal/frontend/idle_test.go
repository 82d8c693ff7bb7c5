package frontend

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/routing"
)

// doors is a listener whose connections a test makes.
type doors struct {
	c    chan net.Conn
	done chan struct{}
}

func newDoors() *doors { return &doors{c: make(chan net.Conn), done: make(chan struct{})} }

// Accept gives the next connection.
func (d *doors) Accept() (net.Conn, error) {
	select {
	case c := <-d.c:
		return c, nil
	case <-d.done:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (d *doors) Close() error { close(d.done); return nil }

// Addr is no real address.
func (d *doors) Addr() net.Addr { return &net.UnixAddr{Name: "test"} }

// ask sends a request on a connection and tells whether it was answered.
func ask(c net.Conn, br *bufio.Reader) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	a, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil
}

// TestARestingConnectionFollowsTheNewestLimit changes the limit while a connection lives, and while it rests.
func TestARestingConnectionFollowsTheNewestLimit(t *testing.T) {
	const short, long = 5 * time.Second, 25 * time.Second
	for _, x := range []struct {
		name    string
		from    time.Duration
		to      time.Duration
		changed time.Duration // into the rest; 0: before it
		rest    time.Duration
		open    bool
	}{
		{"in time", short, short, 0, short - 1, true},
		{"too long", short, short, 0, short + 1, false},
		{"made longer before", short, long, 0, 8 * time.Second, true},
		{"made longer in the rest", short, long, 3 * time.Second, 20 * time.Second, true},
		{"the longer one ends too", short, long, 3 * time.Second, long + 1, false},
		{"made shorter before", long, short, 0, short + 1, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDoors()
				f := New(context.Background(), slog.New(slog.DiscardHandler), d, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(2 * long) // work is no rest
					w.WriteHeader(http.StatusOK)
				}))
				f.SetLimits(routing.Limits{IdleTimeout: x.from})
				go f.Run()
				defer f.Close()
				near, far := net.Pipe()
				defer func() { _ = near.Close() }()
				d.c <- far
				br := bufio.NewReader(near)
				require.True(t, ask(near, br))
				time.Sleep(x.changed)
				f.SetLimits(routing.Limits{IdleTimeout: x.to})
				if x.changed == 0 {
					require.True(t, ask(near, br))
				}
				time.Sleep(x.rest - x.changed)
				require.Equal(t, x.open, ask(near, br))
			})
		})
	}
}
