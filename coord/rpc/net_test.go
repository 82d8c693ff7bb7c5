package rpc

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// silent is a network in which every dial hangs until its time is up.
type silent struct{ dials int }

func (s *silent) Dial(_ string, d time.Duration) (net.Conn, error) {
	s.dials++
	time.Sleep(d)
	return nil, os.ErrDeadlineExceeded
}

func (s *silent) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestASilentAddressMakesNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n := &silent{}
		l := NewPool(ctx, n, nil)
		took := make(chan time.Duration, 20)
		for range cap(took) {
			go func() {
				at := time.Now()
				_, err := l.Call("10.0.0.1:1", &Message{Kind: Loan}, time.Second)
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
