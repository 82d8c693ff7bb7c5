package daemon

import (
	"bytes"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func newStartup(file string, signals chan os.Signal) *startup {
	return &startup{options: &options{file: file}, signals: signals}
}

func TestAwaitSettings_FileTornAtFirst_ReadOnceWhole(t *testing.T) {
	file := exampleFile(t)
	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		require.NoError(t, os.WriteFile(file, whole[:len(whole)/3], 0o600))
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGHUP // as the platform sends once the file is whole; it does not end the wait
		time.AfterFunc(time.Second, func() { _ = os.WriteFile(file, whole, 0o600) })
		var lines bytes.Buffer
		s := newStartup(file, signals)
		ended, err := s.awaitSettings("router", &lines)
		require.NoError(t, err)
		require.Nil(t, ended)
		require.Equal(t, "trial", s.settings.NodeName)
		require.Equal(t, fileStamp(file), s.stamp)
		require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("router: waiting for valid settings")))
	})
}

func TestAwaitSettings_FileStaysWrong_FailsAfterTheTimeout(t *testing.T) {
	file := t.TempDir() + "/missing.yaml"
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, err := newStartup(file, nil).awaitSettings("router", &bytes.Buffer{})
		require.ErrorIs(t, err, os.ErrNotExist)
		require.Equal(t, settingsTimeout, time.Since(start))
	})
}

func TestAwaitSettings_OnlyToBeChecked_ReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := newStartup("/nothing/here.yaml", nil)
		s.options.checkOnly = true
		_, err := s.awaitSettings("router", &bytes.Buffer{})
		require.ErrorIs(t, err, os.ErrNotExist)
		require.Zero(t, time.Since(start))
	})
}

func TestAwaitSettings_Terminated_Ends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		time.AfterFunc(time.Second, func() { signals <- syscall.SIGTERM })
		start := time.Now()
		ended, err := newStartup("/nothing/here.yaml", signals).awaitSettings("router", &bytes.Buffer{})
		require.NoError(t, err)
		require.Equal(t, syscall.SIGTERM, ended)
		require.Equal(t, time.Second, time.Since(start))
	})
}
