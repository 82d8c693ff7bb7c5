package rpc

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/task"
)

// silent is a network in which every dial hangs until its time is up.
type silent struct{ dials int }

func (s *silent) Dial(_ string, d clock.Duration) (net.Conn, error) {
	s.dials++
	time.Sleep(d)
	return nil, os.ErrDeadlineExceeded
}

func (s *silent) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestASilentAddressMakesNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := task.New(slog.New(slog.DiscardHandler))
		defer sc.Stop()
		n := &silent{}
		l := NewLines(sc, n, nil)
		took := make(chan time.Duration, 20)
		for range cap(took) {
			go func() {
				at := time.Now()
				_, err := l.Call("10.0.0.1:1", &Message{Kind: Lend}, time.Second)
				require.Error(t, err)
				took <- time.Since(at)
			}()
		}
		for range cap(took) {
			require.LessOrEqual(t, <-took, time.Second)
		}
		require.Equal(t, 1, n.dials, "they share one dial")
	})
}
