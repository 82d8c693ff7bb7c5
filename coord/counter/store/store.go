package store

import (
	"fmt"
	"io/fs"
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

// filePrefix begins the names of the files; a number in twenty digits follows.
const filePrefix = "counters-"

// Store is the additions in a directory. Open makes one.
type Store struct {
	files   FileSystem
	dir     string
	loaded  counter.Stored
	damaged bool

	complete bool       // the member had totals
	number   uint64     // of the newest file tried
	file     store.File // open for records; nil: none
	stale    []string   // names of older files, which the next one replaces
}

// Open reads a directory that exists. If the disk takes no writes now the store is usable all the same: Append tries
// again. The errors are those of reading.
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
	s.loaded, s.damaged, err = s.readStale()
	if err != nil {
		return nil, err
	}
	if s.damaged {
		s.loaded.Complete = false
	}
	s.complete = s.loaded.Complete
	return s, nil
}

// readStale reads all files but the open one.
func (s *Store) readStale() (all counter.Stored, damaged bool, err error) {
	for _, name := range s.stale {
		content, err := s.files.ReadFile(path.Join(s.dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed when it could not be written
		}
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

// Load is what the directory contained when it was opened, until the first Append; after that it is nothing.
func (s *Store) Load() counter.Stored { return s.loaded }

// Damaged reports whether records were found damaged when the directory was opened.
func (s *Store) Damaged() bool { return s.damaged }

// Append adds runs, and that the member has totals. They are synced when it returns without an error. After an error it
// is not known whether they are stored; the next Append begins a new file.
func (s *Store) Append(runs []counter.Run, complete bool) error {
	s.loaded = counter.Stored{}
	record := counter.Stored{Runs: runs, Complete: complete}
	if s.file == nil {
		return s.beginFile(record)
	}
	if err := writeSynced(s.file, record); err != nil {
		_ = s.file.Close()
		s.file = nil
		s.stale = append(s.stale, fileName(s.number))
		return errors.Wrap(err, "append counters")
	}
	s.complete = s.complete || complete
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

// beginFile writes everything stored and what is new to a new file, and removes the older ones once it is safe.
func (s *Store) beginFile(added counter.Stored) error {
	all, _, err := s.readStale()
	if err != nil {
		return err
	}
	all.Runs = append(all.Runs, added.Runs...)
	all.Complete = s.complete || added.Complete
	s.number++
	name := path.Join(s.dir, fileName(s.number))
	file, err := s.files.Create(name)
	if err != nil {
		return errors.Wrap(err, "create a file of counters")
	}
	err = writeSynced(file, all)
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		_ = file.Close()
		if s.files.Remove(name) != nil {
			s.stale = append(s.stale, fileName(s.number))
		}
		return errors.Wrap(err, "begin a file of counters")
	}
	s.complete = all.Complete
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
