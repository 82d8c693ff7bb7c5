package upstream

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

// TestTCP_OwnPortTakenByAConnectionToAReplica_IsListenedAt guards against a port that a connection keeps from a listener.
func TestTCP_OwnPortTakenByAConnectionToAReplica_IsListenedAt(t *testing.T) {
	replica, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = replica.Close() }()
	conn, err := TCP{}.DialReplica(replica.Addr().String(), dialTimeout)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	own, err := rpc.TCP{}.Listen(conn.LocalAddr().String())
	require.NoError(t, err)
	_ = own.Close()
}
