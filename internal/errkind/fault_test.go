package errkind

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for k := InvalidInput; k <= InvalidSettings; k++ {
		require.NotEqual(t, "unknown", k.Text(), "%d", k)
		require.GreaterOrEqual(t, k.Status(), 300)
	}
	require.Equal(t, InvalidSettings+1, Kind(len(table))+1, "the list is closed")
}

func TestKindsSurviveWrapping(t *testing.T) {
	err := errors.Wrap(Wrap(VersionConflict, New(InvalidInput, "x"), "y"), "z")
	require.Equal(t, VersionConflict, KindOf(err))
	require.Equal(t, Internal, KindOf(errors.New("from elsewhere")))
	require.Equal(t, None, KindOf(nil))
	require.NoError(t, Wrap(VersionConflict, nil, "n"))
}
