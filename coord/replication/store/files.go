package store

import (
	"bytes"
	"io/fs"
	"path"
	"slices"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// mkdirAll makes a directory and those above it that are missing. Each name is durable before the next is made.
func (s *Store) mkdirAll(dir string) error {
	_, err := s.files.List(dir)
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	parent := path.Dir(dir)
	if err := s.mkdirAll(parent); err != nil {
		return err
	}
	if err := s.files.Mkdir(dir); err != nil {
		return err
	}
	return s.files.SyncDir(parent)
}

// syncParentDirs makes the names durable that lead to the data directory. A directory that this process is not permitted to sync was not made by it, so its name is durable already.
func (s *Store) syncParentDirs() error {
	dir := s.dir
	for path.Dir(dir) != dir {
		dir = path.Dir(dir)
		if err := s.files.SyncDir(dir); err != nil && !isSyncUnsupported(err) {
			return err
		}
	}
	return nil
}

// isSyncUnsupported reports whether a directory can't be synced by this process, so that a repeat would fail too.
func isSyncUnsupported(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, errors.ErrUnsupported) || errors.Is(err, syscall.EINVAL)
}

// replaceFile puts a file with new content in place of the one with that name, if any. Until the directory is synced, a loss of power leaves the old one or the new one, each complete.
func (s *Store) replaceFile(name string, content []byte) error {
	unfinished := s.path(name + unfinishedSuffix)
	// What is left of an earlier attempt may be the same file under two names, so it isn't written over.
	if err := s.files.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.writeFile(unfinished, content); err != nil {
		return err
	}
	return s.files.Rename(unfinished, s.path(name))
}

// writeFile makes a file with synced content. Its name is not synced.
func (s *Store) writeFile(path string, content []byte) error {
	file, err := s.files.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return firstError(err, file.Close())
}

// syncNames makes the names in the data directory durable, and only then removes those that the newest state has replaced.
func (s *Store) syncNames() error {
	if err := s.files.SyncDir(s.dir); err != nil {
		return err
	}
	s.namesUnsynced = false
	s.removeReplaced()
	return nil
}

// removeStaleStates removes what earlier snapshots left behind, so that the disk needs room for no more than two states.
func (s *Store) removeStaleStates() error {
	if s.namesUnsynced {
		return s.syncNames()
	}
	s.removeReplaced()
	return nil
}

// removeReplaced removes all of this package's files but those of this identity and its newest state. What can't be removed now is tried again at the next snapshot or start.
func (s *Store) removeReplaced() {
	names, err := s.files.List(s.dir)
	if err != nil {
		return
	}
	keep := []string{identityFileName, s.registerName()}
	if newest := s.newestSnapshot(names); newest > 0 {
		keep = append(keep, s.snapshotName(newest), s.logName(newest))
	}
	for _, name := range names {
		if isOwnName(name) && !slices.Contains(keep, name) {
			s.removeAll(s.path(name))
		}
	}
}

// removeAll removes a file, or a directory with its files.
func (s *Store) removeAll(name string) {
	if s.files.Remove(name) == nil {
		return
	}
	children, err := s.files.List(name)
	if err != nil {
		return
	}
	for _, child := range children {
		_ = s.files.Remove(path.Join(name, child))
	}
	_ = s.files.Remove(name)
}

// isFinishedRecord reports whether a name is that of a register, snapshot or log that counted.
func isFinishedRecord(name string) bool {
	return isOwnName(name) && !strings.HasSuffix(name, unfinishedSuffix)
}

// isFirstFormat reports whether a directory whose identity is not one of this format was written by the first version.
func isFirstFormat(identityContent []byte, names []string) bool {
	return bytes.HasPrefix(identityContent, firstFormatMagic) || slices.ContainsFunc(names, isFirstFormatName)
}
