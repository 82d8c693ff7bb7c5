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

// silentNet is a network in which every dial hangs until its time is up.
type silentNet struct{ dials int }

func (s *silentNet) Dial(_ string, d time.Duration) (net.Conn, error) {
	s.dials++
	time.Sleep(d)
	return nil, os.ErrDeadlineExceeded
}

func (s *silentNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func TestPoolCall_SilentAddress_OneDialShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n := &silentNet{}
		l := NewPool(ctx, n, nil)
		type result struct {
			took time.Duration
			err  error
		}
		results := make(chan result, 20)
		for range cap(results) {
			go func() {
				start := time.Now()
				_, err := l.Call("10.0.0.1:1", &Message{Kind: Loan}, time.Second)
				results <- result{time.Since(start), err}
			}()
		}
		for range cap(results) {
			got := <-results
			require.LessOrEqual(t, got.took, time.Second)
			require.ErrorIs(t, got.err, ErrUnreachable)
			require.ErrorIs(t, got.err, os.ErrDeadlineExceeded)
			var dial *DialError
			require.ErrorAs(t, got.err, &dial)
			require.Equal(t, "10.0.0.1:1", dial.Address)
		}
		require.Equal(t, 1, n.dials, "they share one dial")
	})
}

func TestPoolCall_EmptyAddress_Unreachable(t *testing.T) {
	network := &silentNet{}
	_, err := NewPool(t.Context(), network, nil).Call("", &Message{Kind: Hello}, time.Second)
	require.ErrorIs(t, err, ErrUnreachable)
	require.Zero(t, network.dials)
}
