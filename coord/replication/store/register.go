package store

import (
	"slices"

	"shaletrestle/coord/replication/core"
)

// SaveRegister puts the register in place of the one on disk.
func (s *Store) SaveRegister(register core.Register) error {
	record, err := encodeRegister(s.identity.id, register)
	if err != nil {
		return err
	}
	if err := s.replaceFile(s.registerName(), record); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

// readRegister reads the register. Its file got its name only when it was complete and synced: one that can't be read is damaged, not half written.
func (s *Store) readRegister(names []string) error {
	if !slices.Contains(names, s.registerName()) {
		return nil
	}
	content, err := s.files.ReadFile(s.path(s.registerName()))
	if err != nil {
		return err
	}
	register, ok := decodeRegister(s.identity.id, content)
	if !ok {
		return newDamageError("the register can't be read")
	}
	s.loaded.Register = register
	return nil
}
