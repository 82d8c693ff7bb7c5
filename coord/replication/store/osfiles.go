package store

import (
	"os"

	"github.com/tidwall/wal"

	"shaletrestle/coord/replication/core"
)

const (
	dirMode  = 0o700
	fileMode = 0o600

	// segmentLimitBytes is far above the size of any disk meant, so that the log library never begins a segment of its own: all names are made and synced by this package.
	segmentLimitBytes = 1 << 40
)

// OSFiles is the operating system's file system. Its log is the library tidwall/wal, which here neither creates files nor syncs by itself.
type OSFiles struct{}

// Mkdir makes one directory.
func (OSFiles) Mkdir(path string) error {
	return os.Mkdir(path, dirMode)
}

// List returns the names in a directory.
func (OSFiles) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// ReadFile returns the complete content of a file.
func (OSFiles) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create makes an empty file, or empties the one that is there, and opens it.
func (OSFiles) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Truncate cuts a file to a size and syncs it.
func (OSFiles) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	return firstError(err, file.Close())
}

// OpenLog opens the log whose one segment begins with the entry first.
func (OSFiles) OpenLog(dir string, _ core.Index) (Log, error) {
	log, err := wal.Open(dir, &wal.Options{
		NoSync:           true, // the store syncs
		AllowEmpty:       true,
		SegmentSize:      segmentLimitBytes,
		SegmentCacheSize: 1,
		LogFormat:        wal.Binary,
		DirPerms:         dirMode,
		FilePerms:        fileMode,
	})
	if err != nil {
		return nil, err
	}
	return walLog{log}, nil
}

// Rename gives a file another name.
func (OSFiles) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file or an empty directory.
func (OSFiles) Remove(path string) error {
	return os.Remove(path)
}

// SyncDir makes the names in a directory durable.
func (OSFiles) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	return firstError(err, dir.Close())
}

// walLog is a log of the library.
type walLog struct {
	log *wal.Log
}

func (l walLog) Write(index core.Index, record []byte) error {
	return l.log.Write(uint64(index), record)
}

func (l walLog) Sync() error {
	return l.log.Sync()
}

func (l walLog) Close() error {
	return l.log.Close()
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
