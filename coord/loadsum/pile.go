// Package loadsum tells every node how much work waits at each replica, summed over the fleet: nodes tell their relay what they have sent and not yet heard of, relays add it up, and the sum comes back. It is a hint that ages in a second; nothing waits for it and nothing is numbered.
package loadsum

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Pile is what waits at one replica.
type Pile struct {
	Key    uint32 // of the replica's id
	Tokens uint32 // of prompts sent there that have given no event yet
}

// Key names a replica in few bytes; two that share one are believed to be each as full as both.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

const pileBytes = 8

// Encode gives the bytes of piles.
func Encode(ps []Pile) []byte {
	b := make([]byte, 0, len(ps)*pileBytes)
	for _, p := range ps {
		b = binary.LittleEndian.AppendUint32(b, p.Key)
		b = binary.LittleEndian.AppendUint32(b, p.Tokens)
	}
	return b
}

// Decode reads piles; a piece at the end that is no whole pile is left out.
func Decode(b []byte) []Pile {
	ps := make([]Pile, 0, len(b)/pileBytes)
	for ; len(b) >= pileBytes; b = b[pileBytes:] {
		ps = append(ps, Pile{binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])})
	}
	return ps
}

// Heaviest keeps the n piles with most tokens waiting.
func Heaviest(ps []Pile, n int) []Pile {
	if len(ps) <= n {
		return ps
	}
	sort.Slice(ps, func(i, j int) bool {
		return ps[i].Tokens > ps[j].Tokens || ps[i].Tokens == ps[j].Tokens && ps[i].Key < ps[j].Key
	})
	return ps[:n]
}
