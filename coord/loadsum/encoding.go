// Package loadsum tells every node how much work waits at each replica, summed
// over the fleet. Nodes tell their relay what they have sent and have not heard
// of yet, relays add it up, and the sum comes back. The sum is a hint that ages
// within a second: nothing waits for it and it has no sequence numbers.
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
	Tokens uint32 // of prompts sent there that have had no event yet
}

// Key names a replica in few bytes. Two replicas that share a key are each
// believed to have the work of both.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// pileBytes is the length of an encoded Pile.
const pileBytes = 8

// Encode gives the bytes of a list.
func Encode(piles []Load) []byte {
	encoded := make([]byte, 0, len(piles)*pileBytes)
	for _, pile := range piles {
		encoded = binary.LittleEndian.AppendUint32(encoded, pile.Key)
		encoded = binary.LittleEndian.AppendUint32(encoded, pile.Tokens)
	}
	return encoded
}

// Decode reads a list; an incomplete entry at the end is left out.
func Decode(encoded []byte) []Load {
	piles := make([]Load, 0, len(encoded)/pileBytes)
	for ; len(encoded) >= pileBytes; encoded = encoded[pileBytes:] {
		piles = append(piles, Load{
			Key:    binary.LittleEndian.Uint32(encoded),
			Tokens: binary.LittleEndian.Uint32(encoded[4:]),
		})
	}
	return piles
}

// heaviest keeps the entries with most tokens waiting, at most so many of them.
// It sorts the list only if it is longer.
func heaviest(piles []Load, most int) []Load {
	if len(piles) <= most {
		return piles
	}
	slices.SortFunc(piles, func(a, b Load) int {
		if a.Tokens != b.Tokens {
			return cmp.Compare(b.Tokens, a.Tokens)
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return piles[:most]
}
