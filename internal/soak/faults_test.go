package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFaults_ThatMayEmptyADisk_AreMarked guards against two disks that are lost within wipePause, which is more than the
// group tolerates.
func TestFaults_ThatMayEmptyADisk_AreMarked(t *testing.T) {
	marked := map[string]bool{}
	for _, each := range allFaults() {
		marked[each.name] = each.wipes
	}
	require.True(t, marked["lose a disk"])
	require.True(t, marked["start on a full disk"])
	require.False(t, marked["kill controller"])
}
