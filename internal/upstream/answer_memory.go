package upstream

import (
	"context"
	"io"
	"net/http"

	"go.uber.org/atomic"
	"golang.org/x/sync/semaphore"
)

// smallAnswerBytes is the length up to which a complete response is not counted.
const smallAnswerBytes = 64 << 10

// AnswerMemory bounds the memory that complete responses take until they are passed on: a larger one is read on only once there
// is room for all of it, in the order of coming. It is safe for concurrent use; nil bounds nothing.
type AnswerMemory struct {
	capacity int64
	room     *semaphore.Weighted
	used     atomic.Int64
}

// NewAnswerMemory returns memory of so many bytes. A response that is larger is read when no other is held.
func NewAnswerMemory(capacity int64) *AnswerMemory {
	return &AnswerMemory{capacity: capacity, room: semaphore.NewWeighted(capacity)}
}

// Used is how many bytes are granted.
func (m *AnswerMemory) Used() int64 { return m.used.Load() }

// acquire waits for room until the context ends, and returns what gives it back.
func (m *AnswerMemory) acquire(ctx context.Context, bytes int64) (release func(), err error) {
	if m == nil {
		return func() {}, nil
	}
	bytes = min(bytes, m.capacity)
	if err := m.room.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	m.used.Add(bytes)
	return func() {
		m.used.Sub(bytes)
		m.room.Release(bytes)
	}, nil
}

// readComplete reads the body of a response whole. What it takes is given back when the response is closed.
func (x *exchange) readComplete(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, smallAnswerBytes))
	if err != nil || len(body) < smallAnswerBytes {
		return body, err
	}
	size := response.ContentLength
	if size > MaxResponseBytes {
		return nil, errBodyCut
	}
	if size < 0 {
		size = MaxResponseBytes
	}
	if err := x.acquire(size); err != nil {
		return nil, err
	}
	whole := make([]byte, len(body), max(size, smallAnswerBytes+1))
	copy(whole, body)
	return readInto(whole, response.Body)
}

// readInto reads to the end into the room behind a slice.
func readInto(content []byte, reader io.Reader) ([]byte, error) {
	for {
		if len(content) == cap(content) {
			return content, requireEnd(reader)
		}
		n, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// requireEnd fails unless nothing more comes: a response must not be longer than was announced, or than may be kept.
func requireEnd(reader io.Reader) error {
	_, err := io.ReadFull(reader, make([]byte, 1))
	switch err {
	case io.EOF:
		return nil
	case nil:
		return errBodyCut
	}
	return err
}

// acquire takes memory for the response, until nobody wants that any more.
func (x *exchange) acquire(bytes int64) error {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-x.abandoned
		cancel()
	}()
	release, err := x.memory.acquire(ctx, bytes)
	if err != nil {
		return errAbandoned
	}
	context.AfterFunc(ctx, release)
	return nil
}
