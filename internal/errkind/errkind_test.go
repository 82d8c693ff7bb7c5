package errkind

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKind_All_HaveAnAnswer(t *testing.T) {
	for kind := InvalidInput; kind <= InvalidSettings; kind++ {
		require.NotEqual(t, "unknown", kind.Text(), "%d", kind)
		require.GreaterOrEqual(t, kind.Status(), 300, "%d", kind)
	}
	require.Equal(t, InvalidSettings+1, Kind(len(answers))+1, "the list is closed")
}

func TestKindOf_WrappedErrors_HaveTheOutermostKind(t *testing.T) {
	elsewhere := errors.New("from elsewhere")
	for _, x := range []struct {
		name string
		err  error
		want Kind
	}{
		{"wrapped twice", fmt.Errorf("z: %w", Wrap(VersionConflict, New(InvalidInput, "x"), "y")), VersionConflict},
		{"given", With(Unavailable, elsewhere), Unavailable},
		{"none given", elsewhere, Internal},
		{"no error", nil, None},
	} {
		require.Equal(t, x.want, KindOf(x.err), x.name)
	}
}

func TestWith_Error_KeepsTextAndIdentity(t *testing.T) {
	elsewhere := errors.New("from elsewhere")
	require.EqualError(t, With(Unavailable, elsewhere), "from elsewhere")
	require.ErrorIs(t, With(Unavailable, elsewhere), elsewhere)
	require.EqualError(t, Wrap(Unavailable, elsewhere, "note"), "note: from elsewhere")
	require.NoError(t, Wrap(VersionConflict, nil, "note"))
	require.NoError(t, With(VersionConflict, nil))
}
