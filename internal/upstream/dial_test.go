package upstream

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

// TestTCP_OwnPortTakenByAConnectionToAReplica_IsListenedAt guards against a port that a connection keeps from a listener.
func TestTCP_OwnPortTakenByAConnectionToAReplica_IsListenedAt(t *testing.T) {
	replica, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = replica.Close() }()
	own, shared := dialAlone(t, func() (net.Conn, error) { return TCP{}.DialReplica(replica.Addr().String(), dialTimeout) })
	listener, err := rpc.TCP{}.Listen(own.LocalAddr().String())
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
