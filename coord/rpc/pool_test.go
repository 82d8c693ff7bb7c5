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
		took := make(chan time.Duration, 20)
		for range cap(took) {
			go func() {
				at := time.Now()
				_, err := l.Call("10.0.0.1:1", &Message{Kind: Loan}, time.Second)
				require.ErrorIs(t, err, ErrUnreachable)
				var dial *DialError
				require.ErrorAs(t, err, &dial)
				require.Equal(t, "10.0.0.1:1", dial.Address)
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				took <- time.Since(at)
			}()
		}
		for range cap(took) {
			require.LessOrEqual(t, <-took, time.Second)
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
