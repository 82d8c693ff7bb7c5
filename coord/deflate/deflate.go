// Package deflate compresses messages between processes. It has no state but buffers to use again, and is safe for
// concurrent use.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// What the errors of this package say; ask with errors.Is.
var (
	// ErrDamaged says that bytes are not what Compress gives.
	ErrDamaged = errors.New("compressed bytes are damaged")
	// ErrTooLarge says that there are more bytes, once decompressed, than the caller takes.
	ErrTooLarge = errors.New("too large once decompressed")
)

// compressors are writers to use again: one takes over half a megabyte.
var compressors = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // the level is valid
	return writer
}}

// Compress gives bytes in the deflate format (RFC 1951), quickly rather than as few as possible.
func Compress(plain []byte) []byte {
	var out bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&out)
	_, _ = writer.Write(plain) // a buffer takes everything
	_ = writer.Close()
	return out.Bytes()
}

// Decompress gives back what Compress was given. The error is ErrDamaged, or ErrTooLarge for more than the limit in bytes;
// no more than that is held in memory.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = reader.Close() }()
	plain, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrapf(ErrDamaged, "%v", err)
	}
	if len(plain) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return plain, nil
}
