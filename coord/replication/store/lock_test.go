package store

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestLockDirectory_HeldBySomebodyElse_InUseUntilReleased(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data", "controller")
	require.NoError(t, LockDirectory(dir), "a missing directory is made")
	require.ErrorIs(t, LockDirectory(dir), ErrInUse)

	other := filepath.Join(t.TempDir(), "other")
	require.NoError(t, unix.Mkdir(other, dirMode))
	holder, err := unix.Open(other, unix.O_RDONLY|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, lockDescriptor(holder))
	require.ErrorIs(t, LockDirectory(other), ErrInUse)
	require.NoError(t, unix.Close(holder))
	require.NoError(t, LockDirectory(other))
}

func TestLockDirectory_LockedDirectory_OpensAsAnEmptyOne(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	require.NoError(t, LockDirectory(dir))
	opened, err := Open(OSFiles{}, dir, Options{Bootstrap: true})
	require.NoError(t, err)
	defer opened.Close()
	require.Empty(t, opened.Damage())
	id, bootstrap := opened.Identity()
	require.NotZero(t, id)
	require.True(t, bootstrap)
}

func TestLockDirectory_NoDirectory_Fails(t *testing.T) {
	require.ErrorIs(t, LockDirectory("/dev/null/data"), unix.ENOTDIR)
}
