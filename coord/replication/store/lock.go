package store

import (
	"os"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse is returned by LockDirectory while another process has the data directory.
var ErrInUse = errors.New("another process uses the data directory")

// LockDirectory takes a data directory, which is made if it is missing, for this process until the process ends, in
// whatever way. It writes no file: the lock is on the directory itself, and the system releases it.
//
// While another process has it, the error is ErrInUse; other errors say that the directory can't be made, opened or locked.
func LockDirectory(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "make the data directory")
	}
	descriptor, err := unix.Open(dir, unix.O_RDONLY|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "open the data directory")
	}
	err = lockDescriptor(descriptor)
	if err != nil {
		_ = unix.Close(descriptor)
	}
	return err // without an error the descriptor stays open, and the directory locked
}

func lockDescriptor(descriptor int) error {
	for {
		err := unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EWOULDBLOCK):
			return ErrInUse
		}
		return errors.Wrap(err, "lock the data directory")
	}
}
