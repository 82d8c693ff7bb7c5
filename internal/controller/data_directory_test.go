package controller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/store"
)

func TestRetryDirectory_TroubleThatPasses_IsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		tries := 0
		err := retryDirectory(t.Context(), slog.New(slog.NewTextHandler(&lines, nil)), func() error {
			tries++
			if tries <= 250 { // for 25 s
				return io.ErrShortWrite
			}
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, 251, tries)
		require.Equal(t, 3, strings.Count(lines.String(), "waiting for data directory"))
	})
}

func TestRetryDirectory_FormatOfAnEarlierVersion_Fails(t *testing.T) {
	err := retryDirectory(t.Context(), slog.New(slog.DiscardHandler), func() error { return store.ErrOldFormat })
	require.ErrorIs(t, err, store.ErrOldFormat)
}

func TestRetryDirectory_ContextEnds_Fails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := retryDirectory(ctx, slog.New(slog.DiscardHandler), func() error { return errors.New("full") })
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
