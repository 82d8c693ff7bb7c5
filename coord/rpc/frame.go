package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// outgoing is an encoded message on its way to the socket.
type outgoing struct {
	encoded  []byte
	deadline time.Time // not written after this: the caller has given up; zero: none
}

// writeFrame writes one message, its length before it as four bytes little-endian, and reports whether it did. It checks
// the deadline last: the message may have waited in the outbox, or the process may have been paused.
func writeFrame(w *bufio.Writer, message outgoing) (written bool, err error) {
	if !message.deadline.IsZero() && !time.Now().Before(message.deadline) {
		return false, nil
	}
	var length [framePrefixBytes]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(message.encoded)))
	if _, err := w.Write(length[:]); err != nil {
		return false, err
	}
	if _, err := w.Write(message.encoded); err != nil {
		return false, err
	}
	return true, nil
}

// readFrame reads one frame and returns the encoded message in it. The error is ErrInvalidMessage if the frame
// is longer than 24 MiB, else the reader's: io.EOF if it ended before the frame, io.ErrUnexpectedEOF or io.EOF if it
// ended within it.
func readFrame(r io.Reader) ([]byte, error) {
	var prefix [framePrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(prefix[:])
	if length > frameLimitBytes {
		return nil, errors.Wrapf(ErrInvalidMessage, "frame of %d bytes", length)
	}
	var frame []byte
	for read := uint32(0); read < length; read = uint32(len(frame)) {
		frame = append(frame, make([]byte, min(length-read, frameReadBytes))...)
		if _, err := io.ReadFull(r, frame[read:]); err != nil {
			return nil, err
		}
	}
	return frame, nil
}
