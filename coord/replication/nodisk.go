package replication

import (
	"crypto/rand"
	"encoding/binary"

	"shaletrestle/coord/replication/core"
)

// NoDisk is the store of a member without a disk: an identity for this incarnation, and nothing else.
type NoDisk struct{ id uint64 }

// NewNoDisk returns a NoDisk with a random identity.
func NewNoDisk() *NoDisk {
	var random [8]byte
	_, _ = rand.Read(random[:])                               // never returns an error
	return &NoDisk{binary.LittleEndian.Uint64(random[:]) | 1} // never zero, which names nobody
}

// Identity returns the id of this incarnation, which has no part in bootstrapping the group.
func (s *NoDisk) Identity() (id uint64, bootstrap bool) { return s.id, false }

// BootstrapSeeds returns none.
func (s *NoDisk) BootstrapSeeds() []string { return nil }

// Load returns nothing.
func (s *NoDisk) Load() core.Stored { return core.Stored{} }

// SaveRegister returns ErrNoDisk.
func (s *NoDisk) SaveRegister(core.Register) error { return ErrNoDisk }

// SaveSnapshot returns ErrNoDisk.
func (s *NoDisk) SaveSnapshot(core.Snapshot, []core.Entry) error { return ErrNoDisk }

// Append returns ErrNoDisk.
func (s *NoDisk) Append(core.Entry) error { return ErrNoDisk }
