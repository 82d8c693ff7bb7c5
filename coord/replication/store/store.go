// Package store keeps the records of a member of a replicated state on its disk: who the disk is, the register of a witness, and a state as a snapshot and the log of entries after it.
//
// What a method has reported as saved survives any loss of power. What was under way may be found afterwards or not, but never in part. If something that was saved can't be read any more, the disk counts as damaged: it becomes an empty disk with a new identity, so that it can't pass for one that holds what it has lost. See docs/disk.md.
//
// A Store is used by one goroutine at a time.
package store

import (
	"crypto/rand"
	"encoding/binary"
	"path"
	"slices"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
)

var (
	// ErrOldFormat says that the data directory was written by the first version of the store, which this one can't read. Nothing in it was changed.
	ErrOldFormat = errors.New("the data folder has the format of an earlier version: empty it, or run that version")

	// ErrLogClosed says that no entry can be appended until a snapshot was saved.
	ErrLogClosed = errors.New("the log is closed until a snapshot is saved")

	// ErrNotContinuous says that an entry doesn't follow the state on disk. Nothing was written.
	ErrNotContinuous = errors.New("the entry does not follow the state on disk")
)

// damageError says that something which was saved can't be read any more.
type damageError struct {
	reason string
}

func (d *damageError) Error() string {
	return d.reason
}

func newDamageError(reason string) error {
	return &damageError{reason: reason}
}

// Store is a data directory.
type Store struct {
	files          FileSystem
	dir            string
	identity       identity
	loaded         core.Stored
	damage         string
	truncatedBytes int

	current       generation    // the state whose log is open, or the newest
	lastTried     generation    // the highest generation tried
	end           core.Position // of the state
	log           Log           // nil: closed
	namesUnsynced bool          // a snapshot's new name may be durable or not
}

// Open opens the store in a directory, which is made if it is missing. What Load then gives is durable.
//
// An empty directory gets a new identity; firstStart is kept in it and means that the disk may take part in making the first view, with the seeds of that start, which are kept as well: later settings may name others. A damaged one is emptied and gets a new identity without that right.
func Open(files FileSystem, dir string, bootstrap bool, seeds ...string) (*Store, error) {
	s := &Store{files: files, dir: path.Clean(dir)}
	if err := s.mkdirAll(s.dir); err != nil {
		return nil, errors.Wrap(err, "make the data folder")
	}
	err := s.load(identity{bootstrap: bootstrap, bootstrapSeeds: seeds})
	var damage *damageError
	if errors.As(err, &damage) {
		err = s.Reset(damage.reason)
	}
	if err != nil {
		s.closeLog()
		return nil, errors.Wrap(err, "open the data folder")
	}
	return s, nil
}

// Identity is the disk's own id, and whether it was made at the bootstrap of the whole system.
func (s *Store) Identity() (id uint64, bootstrap bool) {
	return s.identity.id, s.identity.bootstrap
}

// BootstrapSeeds are the seeds with which the group was bootstrapped, if the disk took part in that; else none.
func (s *Store) BootstrapSeeds() []string {
	return s.identity.bootstrapSeeds
}

// Load gives what the disk held when it was opened. It is meant to be called before the first write.
func (s *Store) Load() core.Stored {
	return s.loaded
}

// Damage tells what was found damaged when the store was opened, or is empty.
func (s *Store) Damage() string {
	return s.damage
}

// TruncatedBytes tells how many bytes of a torn write were truncated from the log's end when the store was opened.
func (s *Store) TruncatedBytes() int {
	return s.truncatedBytes
}

// Close ends the use of the store. Nothing is written.
func (s *Store) Close() {
	s.closeLog()
}

// load reads the directory. Its error is a damageError if something that was saved can't be read.
func (s *Store) load(fresh identity) error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return err
	}
	found, err := s.readIdentity(names)
	if err != nil {
		return err
	}
	if !found {
		return s.saveIdentity(fresh)
	}
	if err := s.readRegister(names); err != nil {
		return err
	}
	if err := s.readState(names); err != nil {
		return err
	}
	// A process that was killed may have left names that are seen but not durable yet.
	return s.syncNames()
}

// readIdentity tells whether the directory has an identity, and reads it.
func (s *Store) readIdentity(names []string) (found bool, err error) {
	var content []byte
	present := slices.Contains(names, identityFileName)
	if present {
		content, err = s.files.ReadFile(s.path(identityFileName))
		if err != nil {
			return false, err
		}
	}
	var complete bool
	s.identity, complete = decodeIdentity(content)
	switch {
	case complete:
		return true, nil
	case isFirstFormat(content, names):
		return false, ErrOldFormat
	case present:
		return false, newDamageError("the identity can't be read")
	case slices.ContainsFunc(names, isFinishedRecord):
		return false, newDamageError("there are records without an identity")
	}
	return false, nil
}

// Reset makes the directory one of an empty disk with another identity, which has no part in a bootstrap. Open does it by itself with a damaged directory; it is for data that is intact on disk but that its owner can't use.
//
// The identity's change takes effect atomically, and with it no other name counts any more.
func (s *Store) Reset(reason string) error {
	s.closeLog()
	*s = Store{files: s.files, dir: s.dir, damage: reason}
	return s.saveIdentity(identity{})
}

// saveIdentity gives the directory a new identity; the id is drawn here.
func (s *Store) saveIdentity(fresh identity) error {
	id, err := newID()
	if err != nil {
		return err
	}
	fresh.id = id
	if !fresh.bootstrap {
		fresh.bootstrapSeeds = nil
	}
	s.identity = fresh
	record, err := encodeIdentity(s.identity)
	if err != nil {
		return err
	}
	// An earlier incarnation may have been killed after it had made the directory, before its name was durable.
	if err := s.syncParentDirs(); err != nil {
		return err
	}
	if err := s.replaceFile(identityFileName, record); err != nil {
		return err
	}
	return s.syncNames()
}

// newID draws the id of a disk.
func newID() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(random[:]) | 1, nil // never zero, which names nobody
}
