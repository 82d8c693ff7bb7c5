package router

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstBodyBytes is the room for a body of unknown length at first; it doubles as the body grows.
	firstBodyBytes = 4 << 10
	// smallBodyBytes is up to where such a body is granted memory as it grows. A larger one is granted all that it may need at
	// once: if many grew step by step, each would hold a part and none would be granted its rest.
	smallBodyBytes = 64 << 10
)

// errBodyMemory says that no memory was granted for more of a body.
var errBodyMemory = errors.New("no memory for the body")

// bodyBuffer takes a body into memory that is reserved before it is used.
type bodyBuffer struct {
	reserve  func(bytes int64) bool // reserves so much more
	release  func(bytes int64)      // gives back what is reserved too much
	limit    int64                  // of the body, in bytes
	content  []byte
	reserved int64
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
	if !b.reserveUpTo(first) {
		return errBodyMemory
	}
	b.grow(first)
	if err := b.readAll(reader); err != nil {
		return err
	}
	b.release(b.reserved - int64(cap(b.content)))
	b.reserved = int64(cap(b.content))
	return nil
}

func (b *bodyBuffer) readAll(reader io.Reader) error {
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
		if err := b.makeRoom(); err != nil {
			return false, err
		}
		b.content = append(b.content, next[0])
	}
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

// makeRoom doubles the buffer, within the limit, and reserves what that takes.
func (b *bodyBuffer) makeRoom() error {
	size := int64(cap(b.content))
	next := 2 * size
	if size < b.limit {
		next = min(next, b.limit)
	}
	wanted := next
	if next > smallBodyBytes {
		wanted = max(next, b.limit)
	}
	if !b.reserveUpTo(wanted) {
		return errBodyMemory
	}
	b.grow(next)
	return nil
}

// reserveUpTo reserves what is missing to a number of bytes in total.
func (b *bodyBuffer) reserveUpTo(bytes int64) bool {
	missing := bytes - b.reserved
	if missing <= 0 {
		return true
	}
	if !b.reserve(missing) {
		return false
	}
	b.reserved += missing
	return true
}

// grow makes the buffer larger.
func (b *bodyBuffer) grow(size int64) {
	larger := make([]byte, len(b.content), size)
	copy(larger, b.content)
	b.content = larger
}
