package store

import (
	"crypto/rand"
	"encoding/binary"
	"path"
	"slices"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
)

// The errors of this package; test for them with errors.Is. All others are those of the file system.
var (
	// ErrOldFormat is returned by Open for a data directory that was written by the first version of the store, which this one can't read. Nothing in it was changed.
	ErrOldFormat = errors.New("the data directory has the format of an earlier version: empty it, or run that version")

	// ErrLogClosed is returned by Append while there is no state that an entry could follow, or after a write failed, until a snapshot was saved. Nothing was written.
	ErrLogClosed = errors.New("the log is closed until a snapshot is saved")

	// ErrNotContinuous is returned by Append and SaveSnapshot for an entry that doesn't follow the one before it: a gap, a repeat or a fork. Nothing was written.
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

// Store is a data directory. Open makes one; the zero value is not usable.
type Store struct {
	files          FileSystem
	dir            string
	identity       identity
	loaded         core.Stored
	damage         string // what was found damaged at the start; empty: nothing
	truncatedBytes int

	current       generation    // the state whose log is open, or the newest
	lastTried     generation    // the highest generation tried
	end           core.Position // of the state
	log           Log           // nil: closed
	namesUnsynced bool          // a snapshot's new name may be durable or not
}

// Options are what a new disk is made with; they have no effect on one that has an identity already.
type Options struct {
	// Bootstrap says that the disk is made while the group is bootstrapped, so that it may take part in making the first view.
	Bootstrap bool
	// Seeds are the addresses with which the group is bootstrapped. They are kept on the disk, since later settings may name others. Without Bootstrap they have no effect.
	Seeds []string
}

// Open opens the store in a directory, which is made if it is missing. What Load then returns is durable.
//
// An empty directory gets a new identity. A damaged one is emptied and gets a new identity that has no part in bootstrapping the group; Damage tells why. The errors are ErrOldFormat and those of the file system; after one the directory can be opened again.
func Open(files FileSystem, dir string, options Options) (*Store, error) {
	s := &Store{files: files, dir: path.Clean(dir)}
	if err := s.mkdirAll(s.dir); err != nil {
		return nil, errors.Wrap(err, "make the data directory")
	}
	err := s.load(identity{bootstrap: options.Bootstrap, bootstrapSeeds: options.Seeds})
	var damage *damageError
	if errors.As(err, &damage) {
		err = s.Reset(damage.reason)
	}
	if err != nil {
		s.closeLog()
		return nil, errors.Wrap(err, "open the data directory")
	}
	return s, nil
}

// Identity returns the disk's id, never zero, and whether the disk was made when the group was bootstrapped.
func (s *Store) Identity() (id uint64, bootstrap bool) {
	return s.identity.id, s.identity.bootstrap
}

// BootstrapSeeds returns the seeds with which the group was bootstrapped, if the disk was made then; else none.
func (s *Store) BootstrapSeeds() []string {
	return s.identity.bootstrapSeeds
}

// Load returns the contents of the disk when it was opened, until the first SaveSnapshot or Reset; after that it returns the zero value.
func (s *Store) Load() core.Stored {
	return s.loaded
}

// Damage returns what was found damaged when the store was opened, or the reason of the last Reset; empty: nothing.
func (s *Store) Damage() string {
	return s.damage
}

// TruncatedBytes returns how many bytes of a torn write were truncated from the end of the log when the store was opened.
func (s *Store) TruncatedBytes() int {
	return s.truncatedBytes
}

// Close ends the use of the store. It writes nothing: what was reported as saved is durable.
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

// readIdentity reports whether the directory has an identity, and reads it.
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

// Reset makes the directory that of an empty disk with another identity, which has no part in bootstrapping the group. Open does so by itself with a damaged directory; Reset is for data that is intact on disk but that its owner can't use.
//
// The identity's change takes effect atomically, and with it no other name counts any more.
func (s *Store) Reset(reason string) error {
	s.closeLog()
	*s = Store{files: s.files, dir: s.dir, damage: reason}
	return s.saveIdentity(identity{})
}

// saveIdentity gives the directory a new identity with a random id.
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

// newID returns a random id for a disk.
func newID() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(random[:]) | 1, nil // never zero, which names nobody
}
