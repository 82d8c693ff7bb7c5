package store

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/replication/store"
)

// FileSystem is what the store needs of a file system: a part of that of package replication/store.
type FileSystem interface {
	List(path string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	Create(path string) (store.File, error)
	Remove(path string) error
	SyncDir(path string) error
}

// ErrNoFile is returned by Append while a Rewrite must come first.
var ErrNoFile = errors.New("no file of counters is open")

// filePrefix begins the names of the files; a number in twenty digits follows.
const filePrefix = "counters-"

// Store is the additions in a directory. Open makes one.
type Store struct {
	files   FileSystem
	dir     string
	loaded  counter.Stored
	damaged bool

	number uint64     // of the newest file tried
	file   store.File // open for records; nil: none
	stale  []string   // names of older files, which the next one replaces
}

// Open reads a directory that exists; it writes nothing. The first write must be a Rewrite. The errors are those of reading.
func Open(files FileSystem, dir string) (*Store, error) {
	s := &Store{files: files, dir: path.Clean(dir)}
	names, err := files.List(s.dir)
	if err != nil {
		return nil, errors.Wrap(err, "list the data directory")
	}
	slices.Sort(names)
	for _, name := range names {
		if number, isOwn := fileNumber(name); isOwn {
			s.number = max(s.number, number)
			s.stale = append(s.stale, name)
		}
	}
	s.loaded, s.damaged, err = s.readAll()
	if err != nil {
		return nil, err
	}
	if s.damaged {
		s.loaded.Complete = false
	}
	return s, nil
}

// readAll reads all files.
func (s *Store) readAll() (all counter.Stored, damaged bool, err error) {
	for _, name := range s.stale {
		content, err := s.files.ReadFile(path.Join(s.dir, name))
		if err != nil {
			return counter.Stored{}, false, errors.Wrap(err, "read counters")
		}
		stored, fileDamaged := readRecords(content)
		all.Runs = append(all.Runs, stored.Runs...)
		all.Complete = all.Complete || stored.Complete
		damaged = damaged || fileDamaged
	}
	return all, damaged, nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", filePrefix, number) }

func fileNumber(name string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// Load is what the directory contained when it was opened, until the first write; after that it is nothing.
func (s *Store) Load() counter.Stored { return s.loaded }

// Damaged reports whether records were found damaged when the directory was opened.
func (s *Store) Damaged() bool { return s.damaged }

// Append adds runs, and that the member has totals, to what the newest Rewrite wrote. They are synced when it returns
// without an error. After an error it is not known whether they are stored, and only a Rewrite can be next: without one
// the error is ErrNoFile, and nothing was done.
func (s *Store) Append(runs []counter.Run, complete bool) error {
	if s.file == nil {
		return ErrNoFile
	}
	if err := writeSynced(s.file, counter.Stored{Runs: runs, Complete: complete}); err != nil {
		_ = s.file.Close()
		s.file = nil
		s.stale = append(s.stale, fileName(s.number))
		return errors.Wrap(err, "append counters")
	}
	return nil
}

func writeSynced(file store.File, stored counter.Stored) error {
	if _, err := file.Write(encode(stored)); err != nil {
		return err
	}
	return file.Sync()
}

func encode(stored counter.Stored) []byte {
	var content []byte
	if len(stored.Runs) > 0 {
		content = appendRecord(content, runsRecord, counter.AppendRuns(nil, stored.Runs))
	}
	if stored.Complete {
		content = appendRecord(content, completeRecord, nil)
	}
	return content
}

// Rewrite writes everything that the member holds, which includes what was loaded, to a new file, and removes the older ones
// once it is safe. It is synced when it returns without an error; after one the older files are as they were.
func (s *Store) Rewrite(all []counter.Run, complete bool) error {
	s.loaded = counter.Stored{}
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
		s.stale = append(s.stale, fileName(s.number))
	}
	s.number++
	name := path.Join(s.dir, fileName(s.number))
	file, err := s.files.Create(name)
	if err != nil {
		return errors.Wrap(err, "create a file of counters")
	}
	err = writeSynced(file, counter.Stored{Runs: all, Complete: complete})
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		_ = file.Close()
		if s.files.Remove(name) != nil {
			s.stale = append(s.stale, fileName(s.number))
		}
		return errors.Wrap(err, "rewrite counters")
	}
	s.file = file
	stale := s.stale
	s.stale = nil
	for _, old := range stale {
		if s.files.Remove(path.Join(s.dir, old)) != nil {
			s.stale = append(s.stale, old) // with the next file
		}
	}
	return nil
}

// Close ends the use of the store. It writes nothing.
func (s *Store) Close() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
