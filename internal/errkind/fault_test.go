package errkind

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for k := BadInput; k <= BadEnv; k++ {
		require.NotEqual(t, "unknown", k.Word(), "%d", k)
		require.GreaterOrEqual(t, k.Status(), 300)
	}
	require.Equal(t, BadEnv+1, Kind(len(table))+1, "the list is closed")
}

func TestKindsSurviveWrapping(t *testing.T) {
	err := errors.Wrap(Wrap(Stale, New(BadInput, "x"), "y"), "z")
	require.Equal(t, Stale, KindOf(err))
	require.Equal(t, Internal, KindOf(errors.New("from elsewhere")))
	require.Equal(t, None, KindOf(nil))
	require.NoError(t, Wrap(Stale, nil, "n"))
}
