package loadsum

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Load is the work that waits at one replica.
type Load struct {
	Key    uint32 // of the replica's id
	Tokens uint32 // of prompts sent there whose answer has not begun yet
}

// Key names a replica in few bytes. Two replicas whose keys collide are each taken to have the work of both.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// loadBytes is the length of an encoded Load.
const loadBytes = 8

// Encode returns the bytes of a list: for each load its key and its tokens, four bytes each, little-endian.
func Encode(loads []Load) []byte {
	encoded := make([]byte, 0, len(loads)*loadBytes)
	for _, load := range loads {
		encoded = binary.LittleEndian.AppendUint32(encoded, load.Key)
		encoded = binary.LittleEndian.AppendUint32(encoded, load.Tokens)
	}
	return encoded
}

// Decode reads a list; an incomplete entry at the end is left out.
func Decode(encoded []byte) []Load {
	loads := make([]Load, 0, len(encoded)/loadBytes)
	for ; len(encoded) >= loadBytes; encoded = encoded[loadBytes:] {
		loads = append(loads, Load{
			Key:    binary.LittleEndian.Uint32(encoded),
			Tokens: binary.LittleEndian.Uint32(encoded[4:]),
		})
	}
	return loads
}

// heaviest keeps the loads with most tokens, at most so many of them. It sorts the list only if it is longer.
func heaviest(loads []Load, limit int) []Load {
	if len(loads) <= limit {
		return loads
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Key, b.Key))
	})
	return loads[:limit]
}
