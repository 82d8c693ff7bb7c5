package failuredetector

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWatchedBy_RecordedAssignment_Unchanged holds who watches whom: nodes of all versions must agree on it.
func TestWatchedBy_RecordedAssignment_Unchanged(t *testing.T) {
	var nodes []string
	for i := range 12 {
		nodes = append(nodes, fmt.Sprintf("10.0.0.%d:7722", i))
	}
	recorded := []string{"10.0.0.0:7722", "10.0.0.6:7722", "10.0.0.7:7722", "10.0.0.9:7722"}
	require.Equal(t, recorded, WatchedBy(nodes[5], nodes, 3))
}
