package handoff

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKind_RecordedWords_ReadAndWrittenAsBefore holds the words that stand for the kinds in the messages between
// processes.
func TestKind_RecordedWords_ReadAndWrittenAsBefore(t *testing.T) {
	for word, kind := range map[string]Kind{
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
		require.Equal(t, word, kind.String())
		require.Equal(t, kind, KindOf(word))
	}
	require.Zero(t, KindOf(""))
	require.Zero(t, KindOf("another"))
}
