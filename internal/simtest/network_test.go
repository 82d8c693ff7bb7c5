package simtest

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/upstream"
)

// Hosts of the tests of the network.
const (
	dialler  = "10.0.0.1"
	acceptor = "10.0.0.2"
	atPort   = acceptor + ":80"
)

// connected makes a network with one connection between two hosts.
func connected(t *testing.T) (n *Network, near, far net.Conn) {
	t.Helper()
	n = NewNetwork(time.Millisecond)
	listener, err := n.Host(acceptor).Listen(atPort)
	require.NoError(t, err)
	near, err = n.Host(dialler).Dial(atPort, time.Second)
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	return n, near, far
}

// readCases are events and what a read gives that waits meanwhile, and when.
var readCases = []struct {
	name   string
	event  func(n *Network, near, far net.Conn) // before or during the read at far
	want   string
	err    error
	within time.Duration // from the read's begin
}{
	{"data", func(_ *Network, near, _ net.Conn) { _, _ = near.Write([]byte("one")) }, "one", nil, time.Millisecond},
	{"data after a wait", func(_ *Network, near, _ net.Conn) {
		time.Sleep(time.Second)
		_, _ = near.Write([]byte("one"))
	}, "one", nil, time.Second + time.Millisecond},
	{"data over a partition", func(n *Network, near, _ net.Conn) {
		n.Partition(dialler, acceptor)
		_, _ = near.Write([]byte("one"))
		time.Sleep(time.Minute)
		n.Heal()
	}, "one", nil, time.Minute},
	{"data for a frozen process", func(n *Network, near, _ net.Conn) {
		n.Freeze(acceptor)
		_, _ = near.Write([]byte("one"))
		time.Sleep(time.Minute)
		n.Thaw(acceptor)
	}, "one", nil, time.Minute},
	{"end", func(_ *Network, near, _ net.Conn) { _ = near.Close() }, "", io.EOF, 0},
	{"data before the end", func(_ *Network, near, _ net.Conn) {
		_, _ = near.Write([]byte("one"))
		_ = near.Close()
	}, "one", nil, time.Millisecond},
	{"own end", func(_ *Network, _, far net.Conn) { _ = far.Close() }, "", net.ErrClosed, 0},
	{"reset", func(n *Network, _, _ net.Conn) { n.ResetAll(dialler) }, "", syscall.ECONNRESET, 0},
	{"killed peer", func(n *Network, _, _ net.Conn) { n.Kill(dialler) }, "", syscall.ECONNRESET, 0},
	{
		"peer without power", func(n *Network, _, _ net.Conn) { n.PowerOff(dialler) }, "", syscall.ETIMEDOUT,
		upstream.KeepAliveIdle + upstream.KeepAliveProbes*upstream.KeepAliveInterval,
	},
	{"write to a peer without power", func(n *Network, _, far net.Conn) {
		n.PowerOff(dialler)
		_, _ = far.Write([]byte("two"))
	}, "", syscall.ETIMEDOUT, min(upstream.UnacknowledgedTimeout, upstream.KeepAliveIdle+upstream.KeepAliveProbes*upstream.KeepAliveInterval)},
	{"deadline", func(_ *Network, _, far net.Conn) { _ = far.SetReadDeadline(time.Now().Add(time.Second)) }, "", os.ErrDeadlineExceeded, time.Second},
	{"data on a forgotten connection", func(n *Network, near, far net.Conn) {
		_, _ = far.Write([]byte("before"))
		n.DropIdle(acceptor, time.Second)
		time.Sleep(2 * time.Second)
		_, _ = near.Write([]byte("one"))
	}, "", syscall.ECONNRESET, 2 * time.Second},
}

// TestConn_Read shows how events end a read.
func TestConn_Read(t *testing.T) {
	for _, c := range readCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, near, far := connected(t)
				defer n.Close()
				start := time.Now()
				go c.event(n, near, far)
				synctest.Wait()
				buffer := make([]byte, 16)
				count, err := far.Read(buffer)
				require.Equal(t, c.want, string(buffer[:count]))
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.within, time.Since(start))
			})
		})
	}
}

// TestHost_Dial shows when a host can't be dialled.
func TestHost_Dial(t *testing.T) {
	for _, c := range []struct {
		name   string
		event  func(n *Network)
		at     string
		err    error
		within time.Duration
	}{
		{"listener", func(*Network) {}, atPort, nil, 2 * time.Millisecond},
		{"no listener", func(*Network) {}, acceptor + ":81", syscall.ECONNREFUSED, 2 * time.Millisecond},
		{"no host", func(*Network) {}, "10.0.0.3:80", os.ErrDeadlineExceeded, time.Second},
		{"partition", func(n *Network) { n.Partition(acceptor, dialler) }, atPort, os.ErrDeadlineExceeded, time.Second},
		{"healed partition", func(n *Network) {
			n.Partition(acceptor, dialler)
			go func() {
				time.Sleep(500 * time.Millisecond)
				n.Heal()
			}()
		}, atPort, nil, 502 * time.Millisecond},
		{"no power", func(n *Network) { n.PowerOff(acceptor) }, atPort, os.ErrDeadlineExceeded, time.Second},
		{"killed process", func(n *Network) { n.Kill(acceptor) }, atPort, syscall.ECONNREFUSED, 2 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _, _ := connected(t)
				defer n.Close()
				c.event(n)
				start := time.Now()
				_, err := n.Host(dialler).Dial(c.at, time.Second)
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.within, time.Since(start))
			})
		})
	}
}
