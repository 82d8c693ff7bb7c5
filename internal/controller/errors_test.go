package controller

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/core"
	"shaletrestle/internal/config"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

func TestWithKind_Errors_HaveTheirStatusAndKeepTheirText(t *testing.T) {
	for _, x := range []struct {
		err  error
		want int // HTTP status
	}{
		{replication.ErrNotPrimary, 307},
		{replication.ErrNotStarted, 503},
		{replication.ErrNotDecided, 503},
		{fmt.Errorf("%w: %w", replication.ErrNotDecided, core.ErrTooManyPending), 503},
		{replication.ErrStopped, 503},
		{ErrAbandoned, 503},
		{ErrSuperseded, 503},
		{&OutcomeUnknownError{Base: 3}, 503},
		{&state.RevisionConflictError{Base: 3, Current: 4}, 412},
		{&state.UnknownKindError{Kind: "x"}, 400},
		{&config.InvalidError{Reason: "not an object"}, 400},
		{fmt.Errorf("in a note: %w", &config.InvalidError{Reason: "not an object"}), 400},
		{fmt.Errorf("%w: %w", replication.ErrNotDecided, &config.InvalidError{Reason: "not an object"}), 503},
		{errkind.Wrap(errkind.Unavailable, &config.InvalidError{Reason: "x"}, "not decided"), 503},
		{errkind.New(errkind.NotPrimary, "not the primary"), 307},
		{errors.New("from elsewhere"), 500},
	} {
		got := withKind(x.err)
		require.Equal(t, x.want, errkind.KindOf(got).Status(), "%v", x.err)
		require.Equal(t, x.err.Error(), got.Error())
		require.ErrorIs(t, got, x.err)
	}
	require.NoError(t, withKind(nil))
}
