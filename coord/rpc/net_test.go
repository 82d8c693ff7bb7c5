package rpc

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTCP_OwnPortTakenByAnOutgoingConnection_IsListenedAt guards against a port that an own connection keeps from its listener.
func TestTCP_OwnPortTakenByAnOutgoingConnection_IsListenedAt(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	own, shared := dialAlone(t, func() (net.Conn, error) { return TCP{}.Dial(peer.Addr().String(), time.Second) })
	listener, err := TCP{}.Listen(own.LocalAddr().String())
	require.NoError(t, err, "the source port of a connection to another process; %d shared ones were passed over", shared)
	_ = listener.Close()
}

// dialAlone dials until the connection's source port is no other connection's too: connections of others, to other
// destinations, may be given the same port, and keep it from a listener.
func dialAlone(t *testing.T, dial func() (net.Conn, error)) (own net.Conn, shared int) {
	t.Helper()
	for ; shared < 1000; shared++ {
		conn, err := dial()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		port := conn.LocalAddr().(*net.TCPAddr).Port
		table, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		if strings.Count(string(table), fmt.Sprintf(": 0100007F:%04X ", port)) == 1 {
			return conn, shared
		}
	}
	require.FailNow(t, "every source port is shared")
	return nil, shared
}
