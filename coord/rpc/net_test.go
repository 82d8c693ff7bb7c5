package rpc

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTCP_OwnPortTakenByAnOutgoingConnection_IsListenedAt guards against a port that an own connection keeps from its listener.
func TestTCP_OwnPortTakenByAnOutgoingConnection_IsListenedAt(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	conn, err := TCP{}.Dial(peer.Addr().String(), time.Second)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	own, err := TCP{}.Listen(conn.LocalAddr().String())
	require.NoError(t, err, "the source port of a connection to another process")
	_ = own.Close()
}
