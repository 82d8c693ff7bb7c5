package replication

import (
	"crypto/rand"
	"encoding/binary"

	"shaletrestle/internal/errkind"
)

// NoDisk is the store of a member without a disk: an identity for this life, and nothing else.
type NoDisk struct{ id uint64 }

// NewNoDisk makes one with a random identity.
func NewNoDisk() *NoDisk {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &NoDisk{binary.LittleEndian.Uint64(b[:]) | 1}
}

// Identity is the id of this life; it is never a member of the first register.
func (s *NoDisk) Identity() (uint64, bool) { return s.id, false }

// LoadRegister gives an empty one.
func (s *NoDisk) LoadRegister() Register { return Register{} }

// SaveRegister keeps nothing and says so.
func (s *NoDisk) SaveRegister(Register) error { return noDisk() }

// Load gives nothing.
func (s *NoDisk) Load() Held { return Held{} }

// Reset keeps nothing and says so.
func (s *NoDisk) Reset(Held) error { return noDisk() }

// Append keeps nothing and says so.
func (s *NoDisk) Append([]byte) error { return noDisk() }

// Size is nothing.
func (s *NoDisk) Size() int { return 0 }

func noDisk() error { return errkind.New(errkind.Unready, "no disk is here") }
