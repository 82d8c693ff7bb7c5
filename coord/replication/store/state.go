package store

import (
	"io/fs"
	"path"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
)

// SaveSnapshot puts a state, a snapshot and the entries after it, in place of the one on disk.
//
// After an error the old state is still there. If the new one had its name already, either may be found after a restart, and the log is closed, since an entry added to the old one might be lost with it.
func (s *Store) SaveSnapshot(snapshot core.Snapshot, tail []core.Entry) error {
	end, err := positionAfter(snapshot.Position, tail)
	if err != nil {
		return err
	}
	if err := s.removeStaleStates(); err != nil {
		return err
	}
	s.lastTried++
	number := s.lastTried
	if err := s.writeState(number, snapshot, tail); err != nil {
		s.removeAll(s.path(s.snapshotName(number) + unfinishedSuffix))
		s.removeAll(s.path(s.logName(number)))
		return err
	}
	s.closeLog()
	s.namesUnsynced = true
	unfinished := s.path(s.snapshotName(number) + unfinishedSuffix)
	if err := s.files.Rename(unfinished, s.path(s.snapshotName(number))); err != nil {
		return err
	}
	if err := s.syncNames(); err != nil {
		return err
	}
	s.current = number
	s.end = end
	s.loaded = core.Stored{}
	return s.openLog(snapshot.Position)
}

// writeState writes the files of a state and makes all their names durable, the snapshot's with the suffix of an unfinished file.
func (s *Store) writeState(number generation, snapshot core.Snapshot, tail []core.Entry) error {
	dir := s.path(s.logName(number))
	if err := s.files.Mkdir(dir); err != nil {
		return err
	}
	segment := path.Join(dir, SegmentName(snapshot.Position.Index+1))
	if err := s.writeFile(segment, encodeSegment(s.identity.id, tail)); err != nil {
		return err
	}
	if err := s.files.SyncDir(dir); err != nil {
		return err
	}
	unfinished := s.path(s.snapshotName(number) + unfinishedSuffix)
	if err := s.writeFile(unfinished, encodeSnapshot(s.identity.id, number, snapshot)); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

// Append adds an entry to the state. After an error the log is closed until a snapshot is saved, since part of the entry may be in it.
func (s *Store) Append(entry core.Entry) error {
	if s.log == nil {
		return ErrLogClosed
	}
	if !entry.Follows(s.end) {
		return errors.Wrapf(ErrNotContinuous, "entry %d after %d", entry.Index, s.end.Index)
	}
	err := s.log.Write(entry.Index, encodeEntry(s.identity.id, entry))
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.closeLog()
		return err
	}
	s.end = entry.Position()
	return nil
}

// readState reads the newest state. Its snapshot got its name only when the complete state was synced: if anything of it can't be read, it is damaged, and an older one must not take its place.
func (s *Store) readState(names []string) error {
	s.lastTried = s.newestGeneration(names)
	s.current = s.newestSnapshot(names)
	if s.current == 0 {
		return nil
	}
	content, err := s.files.ReadFile(s.path(s.snapshotName(s.current)))
	if err != nil {
		return err
	}
	snapshot, ok := decodeSnapshot(s.identity.id, s.current, content)
	if !ok {
		return newDamageError("the snapshot can't be read")
	}
	entries, err := s.readLog(snapshot.Position)
	if err != nil {
		return err
	}
	s.end, err = positionAfter(snapshot.Position, entries)
	if err != nil {
		return err
	}
	s.loaded.Snapshot = &snapshot
	s.loaded.Entries = entries
	s.loaded.Appendable = s.log != nil
	return nil
}

// readLog reads the log after a snapshot, truncates a torn write at its end, and opens it.
func (s *Store) readLog(start core.Position) ([]core.Entry, error) {
	segment := path.Join(s.path(s.logName(s.current)), SegmentName(start.Index+1))
	content, err := s.files.ReadFile(segment)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, newDamageError("the snapshot's log is missing")
	}
	if err != nil {
		return nil, err
	}
	entries, completeBytes, err := readSegment(s.identity.id, start, content)
	if err != nil {
		return nil, newDamageError(err.Error())
	}
	s.truncatedBytes = len(content) - completeBytes
	if s.truncatedBytes > 0 && !s.tryTruncate(segment, completeBytes) {
		// The log stays closed. Its entries are durable: only the torn write after them was not synced.
		return entries, nil
	}
	if err := s.openLog(start); err != nil {
		return nil, err
	}
	// The last entry may be there without being durable, if the process was killed before its sync.
	return entries, s.log.Sync()
}

// tryTruncate truncates a segment and reports whether the disk could.
func (s *Store) tryTruncate(segment string, size int) bool {
	return s.files.Truncate(segment, int64(size)) == nil
}

func (s *Store) openLog(start core.Position) error {
	log, err := s.files.OpenLog(s.path(s.logName(s.current)), start.Index+1)
	if err != nil {
		return err
	}
	s.log = log
	return nil
}

func (s *Store) closeLog() {
	if s.log == nil {
		return
	}
	_ = s.log.Close()
	s.log = nil
}

// positionAfter is the position after entries, each of which has to follow the one before.
func positionAfter(position core.Position, entries []core.Entry) (core.Position, error) {
	for _, entry := range entries {
		if !entry.Follows(position) {
			return core.Position{}, errors.Wrapf(ErrNotContinuous, "entry %d after %d", entry.Index, position.Index)
		}
		position = entry.Position()
	}
	return position, nil
}
