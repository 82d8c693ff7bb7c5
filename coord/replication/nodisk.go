package replication

import (
	"crypto/rand"
	"encoding/binary"

	"shaletrestle/coord/replication/core"
)

// NoDisk is the store of a member without a disk: an identity for this incarnation, and nothing else.
type NoDisk struct{ id uint64 }

// NewNoDisk makes one with a random identity.
func NewNoDisk() *NoDisk {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return &NoDisk{binary.LittleEndian.Uint64(random[:]) | 1}
}

// Identity is the id of this incarnation; it is never a member of the first register.
func (s *NoDisk) Identity() (id uint64, bootstrap bool) { return s.id, false }

// BootstrapSeeds returns none.
func (s *NoDisk) BootstrapSeeds() []string { return nil }

// Load gives nothing.
func (s *NoDisk) Load() core.Stored { return core.Stored{} }

// SaveRegister keeps nothing and says so.
func (s *NoDisk) SaveRegister(core.Register) error { return ErrNoDisk }

// SaveSnapshot keeps nothing and says so.
func (s *NoDisk) SaveSnapshot(core.Snapshot, []core.Entry) error { return ErrNoDisk }

// Append keeps nothing and says so.
func (s *NoDisk) Append(core.Entry) error { return ErrNoDisk }
