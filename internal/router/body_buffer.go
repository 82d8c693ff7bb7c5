package router

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstBodyBytes is the room for a body of unknown length at first; it doubles as the body grows.
const firstBodyBytes = 4 << 10

// errBodyMemory says that no memory was granted for more of a body.
var errBodyMemory = errors.New("no memory for the body")

// bodyBuffer takes a body into memory that is reserved before it is used.
type bodyBuffer struct {
	reserve func(bytes int64) bool // reserves so much more
	limit   int64                  // of the body, in bytes
	content []byte
}

// readFrom reads a whole body. The length is negative if it is not known. The error is errBodyMemory, or that of the reader.
func (b *bodyBuffer) readFrom(reader io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	first := length
	if length < 0 {
		first = min(firstBodyBytes, b.limit)
	}
	if err := b.grow(first); err != nil {
		return err
	}
	for {
		n, err := reader.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.content) < cap(b.content) {
			continue
		}
		if ended, err := b.readEnd(reader); ended || err != nil {
			return err
		}
	}
}

// readEnd is called with a full buffer: it sees whether the body goes on, and makes room if it does.
func (b *bodyBuffer) readEnd(reader io.Reader) (ended bool, err error) {
	var next [1]byte
	n, err := reader.Read(next[:])
	if n > 0 {
		if err := b.grow(b.nextSize()); err != nil {
			return false, err
		}
		b.content = append(b.content, next[0])
	}
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

// nextSize is twice the present one, within the limit.
func (b *bodyBuffer) nextSize() int64 {
	size := int64(cap(b.content))
	return max(size+1, min(2*size, b.limit))
}

// grow makes room for a number of bytes in total, and reserves what it takes more.
func (b *bodyBuffer) grow(size int64) error {
	if !b.reserve(size - int64(cap(b.content))) {
		return errBodyMemory
	}
	larger := make([]byte, len(b.content), size)
	copy(larger, b.content)
	b.content = larger
	return nil
}
