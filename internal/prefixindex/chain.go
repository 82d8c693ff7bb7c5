package prefixindex

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the usual number of tokens in a block (source).
const BlockTokens = 16

// Part is one named part of a prompt.
type Part struct {
	ID     uint64 // equal for equal contents
	Tokens int    // its length
}

// Key is the chained key of a run of blocks; it stands for all blocks before it
// too.
type Key uint64

// Chain is a prompt with its keys. Make it with [NewChain]; it is not changed afterwards.
type Chain struct {
	Parts        []Part
	Keys         []Key // of the run that ends with part i
	PrefixTokens []int // up to the end of part i, in tokens
}

// RootKey is the key before the first block. It is made from the model and the
// revision of its weights.
func RootKey(model string, weights int64) Key {
	return Key(xxhash.Sum64String(model + "\x00" + strconv.FormatInt(weights, 10)))
}

// next is the key of the run that a part adds after the run of a key.
func next(key Key, part Part) Key {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(key))
	binary.LittleEndian.PutUint64(buffer[8:], part.ID)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(part.Tokens))
	return Key(xxhash.Sum64(buffer[:]))
}

// NewChain chains the parts' keys from a root.
func NewChain(root Key, parts []Part) *Chain {
	chain := &Chain{Parts: parts}
	key, tokens := root, 0
	for _, part := range parts {
		key = next(key, part)
		tokens += part.Tokens
		chain.Keys = append(chain.Keys, key)
		chain.PrefixTokens = append(chain.PrefixTokens, tokens)
	}
	return chain
}

// Tokens is the length of the whole prompt.
func (c *Chain) Tokens() int {
	if len(c.PrefixTokens) == 0 {
		return 0
	}
	return c.PrefixTokens[len(c.PrefixTokens)-1]
}

// SharedParts is the number of parts before the last one, which belongs to the request
// or its session alone.
func (c *Chain) SharedParts() int { return max(0, len(c.Parts)-1) }

// SharedKey is the key of all shared parts, by which a prompt's preferred replicas are
// found. If there is only one part, it is that part's key.
func (c *Chain) SharedKey() Key {
	if shared := c.SharedParts(); shared > 0 {
		return c.Keys[shared-1]
	}
	if len(c.Keys) > 0 {
		return c.Keys[0]
	}
	return 0
}
