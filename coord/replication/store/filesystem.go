package store

import "shaletrestle/coord/replication/core"

// FileSystem is all that the store needs of a file system; OSFiles is the operating system's, storetest.Disk a model for tests. Paths use slashes. A name that is missing is reported as an error that is fs.ErrNotExist. It is called by one goroutine at a time.
type FileSystem interface {
	// Mkdir makes one directory; its parent exists.
	Mkdir(path string) error
	// List returns the names in a directory.
	List(path string) ([]string, error)
	// ReadFile returns the complete content of a file.
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file, or empties the one that is there, and opens it.
	Create(path string) (File, error)
	// Truncate cuts a file to a size and syncs it.
	Truncate(path string, size int64) error
	// OpenLog opens the log whose one segment, a file that is there, begins with the entry first.
	OpenLog(dir string, first core.Index) (Log, error)
	// Rename gives a file another name, in place of what had it.
	Rename(from, to string) error
	// Remove removes a file or an empty directory.
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(path string) error
}

// File is a file open for writing at its end.
type File interface {
	Write(content []byte) (int, error)
	Sync() error
	Close() error
}

// Log is a log segment open for adding records to its end.
type Log interface {
	// Write adds a record, which is durable only after Sync.
	Write(index core.Index, record []byte) error
	Sync() error
	Close() error
}
