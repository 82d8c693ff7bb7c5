package distribution

import (
	"shaletrestle/coord/deflate"
	"shaletrestle/coord/rpc"
)

// change is one change as it is sent. One of its two forms is made with it, the other when a follower first needs it.
type change struct {
	number     uint64
	plain      []byte // encoded message; nil: not made yet
	compressed []byte // encoded message with a compressed body; nil for a change that is not worth it
}

func newChange(at Position, body []byte) *change {
	if len(body) < compressFromBytes {
		return &change{number: at.Number, plain: changeMessage(at, body).Encode()}
	}
	return &change{number: at.Number, compressed: compressedChangeMessage(at, body).Encode()}
}

// encoded gives the message for a follower that takes compressed changes, or for one that does not.
func (c *change) encoded(compressed bool) []byte {
	if compressed && c.compressed != nil {
		return c.compressed
	}
	if c.plain == nil {
		message, _ := rpc.Decode(c.compressed) // both are what newChange made
		body, _ := deflate.Decompress(message.Body, decodedLimitBytes)
		c.plain = changeMessage(positionOf(message), body).Encode()
	}
	return c.plain
}
