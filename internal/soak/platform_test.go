package soak

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlatform_ClosedAtOnce_FreesItsAddress closes a platform before it has begun to serve: another one can listen there
// at once.
func TestPlatform_ClosedAtOnce_FreesItsAddress(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	at := free.Addr().String()
	require.NoError(t, free.Close())
	for range 300 {
		p, err := startPlatform(at)
		require.NoError(t, err)
		p.close()
	}
}
