// Package prefixindex is the hint index of the cache design: which replicas are believed to keep which prefix blocks. Keys chain over the parts of the prompt from the model and its exact weights; the client is not in the key.
package prefixindex

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is one named part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Key is the chained key of a run of blocks; it stands for all that goes before it.
type Key uint64

// Chain is a prompt with its keys: Keys[i] is the key of the run that ends with part i.
type Chain struct {
	Parts []Part
	Keys  []Key
	Upto  []int // tokens up to the end of part i
}

// Root is the key before the first block: model and exact weights.
func Root(model string, weights int64) Key {
	return Key(xxhash.Sum64String(model + "\x00" + strconv.FormatInt(weights, 10)))
}

func next(k Key, p Part) Key {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], p.ID)
	binary.LittleEndian.PutUint64(b[16:], uint64(p.Tokens))
	return Key(xxhash.Sum64(b[:]))
}

// ParseParts reads a Prompt-Prefix; one that can't be read gives nothing, and the inquiry goes without the hint.
func ParseParts(s string) []Part {
	if s == "" {
		return nil
	}
	var out []Part
	for _, x := range strings.Split(s, ",") {
		a, b, ok := strings.Cut(strings.TrimSpace(x), ":")
		if !ok || a == "" || len(out) > 4096 {
			return nil
		}
		id, err := strconv.ParseUint(a, 16, 64)
		if err != nil {
			id = xxhash.Sum64String(a)
		}
		n, err := strconv.Atoi(b)
		if err != nil || n < 0 || n > 1<<28 {
			return nil
		}
		out = append(out, Part{id, n})
	}
	return out
}

// NewChain chains the parts' keys from a root.
func NewChain(root Key, ps []Part) *Chain {
	c := &Chain{Parts: ps}
	k, n := root, 0
	for _, p := range ps {
		k, n = next(k, p), n+p.Tokens
		c.Keys = append(c.Keys, k)
		c.Upto = append(c.Upto, n)
	}
	return c
}

// Tokens is the length of the whole prompt.
func (c *Chain) Tokens() int {
	if len(c.Upto) == 0 {
		return 0
	}
	return c.Upto[len(c.Upto)-1]
}

// Shared is the number of parts before the one that belongs to the inquiry or its session alone.
func (c *Chain) Shared() int { return max(0, len(c.Parts)-1) }

// Head is the key of all shared parts, by which homes are found; the root's successor if there is one part only.
func (c *Chain) Head() Key {
	switch n := c.Shared(); {
	case n > 0:
		return c.Keys[n-1]
	case len(c.Keys) > 0:
		return c.Keys[0]
	}
	return 0
}
