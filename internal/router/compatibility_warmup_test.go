package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestColdStartShares_RecordedNodes_Unchanged pins which nodes share a replica that is warming up: nodes of all
// versions must agree on it, or more is sent there than it bears.
func TestColdStartShares_RecordedNodes_Unchanged(t *testing.T) {
	var nodes []string
	for i := range 12 {
		nodes = append(nodes, fmt.Sprintf("10.0.0.%d:7722", i))
	}
	for id, recorded := range map[string][]int{
		"replica-0": {8, 10, 11},
		"replica-1": {0, 8, 10},
		"replica-2": {7, 8, 10},
	} {
		var sharing []int
		for i, self := range nodes {
			if newWarmupShares(nodes, self).fraction(id) == 1.0/3 {
				sharing = append(sharing, i)
			}
		}
		require.Equal(t, recorded, sharing, id)
	}
}
