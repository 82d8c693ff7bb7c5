package handoff

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKind_RecordedNames_ReadAndWrittenAsBefore pins the names that stand for the kinds in the messages between
// processes.
func TestKind_RecordedNames_ReadAndWrittenAsBefore(t *testing.T) {
	for name, kind := range map[string]Kind{
		"offer":    Offer,
		"go":       Go,
		"drop":     Drop,
		"accept":   Accept,
		"decline":  Decline,
		"begun":    Started,
		"part":     Part,
		"done":     Done,
		"returned": Returned,
		"failed":   Failed,
		"unknown":  Unknown,
	} {
		require.Equal(t, name, kind.String())
		require.Equal(t, kind, KindOf(name))
	}
	require.Zero(t, KindOf(""))
	require.Zero(t, KindOf("another"))
}
