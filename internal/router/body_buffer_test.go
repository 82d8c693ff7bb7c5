package router

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/fairshare"
)

// accountedBuffer reserves from shares and keeps what it has.
func accountedBuffer(shares *fairshare.Shares, limit int64) (buffer *bodyBuffer, reserved *int64) {
	reserved = new(int64)
	return &bodyBuffer{limit: limit, reserve: func(bytes int64) bool {
		if !shares.TryAcquire("route", bytes) {
			return false
		}
		*reserved += bytes
		return true
	}}, reserved
}

func TestBodyBuffer_AnyLengthAndReader_WholeBody(t *testing.T) {
	const limit = 3 * firstBodyBytes
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 2 * firstBodyBytes, limit} {
		content := bytes.Repeat([]byte("body "), size/5+1)[:size]
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "end with data": iotest.DataErrReader,
		} {
			for _, length := range []int64{int64(size), -1} {
				buffer, reserved := accountedBuffer(fairshare.New(1<<20, 1), limit)
				require.NoError(t, buffer.readFrom(wrap(bytes.NewReader(content)), length), name)
				require.Equal(t, string(content), string(buffer.content), "%s, length %d", name, length)
				require.Equal(t, int64(cap(buffer.content)), *reserved, "%s, length %d", name, length)
				require.LessOrEqual(t, *reserved, int64(limit)+1)
			}
		}
	}
}

// TestBodyBuffer_ChunkedBodiesOfManyClients_HoldNoMoreThanGranted guards against bodies that take a router over its memory.
func TestBodyBuffer_ChunkedBodiesOfManyClients_HoldNoMoreThanGranted(t *testing.T) {
	const capacity, clients, bodyBytes = 1 << 20, 50, 100 << 10
	shares := fairshare.New(capacity, 1)
	held, refused := int64(0), 0
	for range clients {
		buffer, reserved := accountedBuffer(shares, bodyBytes)
		body := io.MultiReader(bytes.NewReader(make([]byte, bodyBytes-1)), iotest.ErrReader(errors.New("still on its way")))
		if err := buffer.readFrom(body, -1); errors.Is(err, errBodyMemory) {
			refused++
		}
		require.LessOrEqual(t, int64(cap(buffer.content)), *reserved)
		held += int64(cap(buffer.content))
	}
	require.LessOrEqual(t, held, int64(capacity))
	require.Equal(t, held, shares.Used())
	require.Greater(t, refused, clients/2)
}

func TestBodyBuffer_ReaderFails_ItsError(t *testing.T) {
	for _, size := range []int{0, 10, firstBodyBytes} {
		buffer, _ := accountedBuffer(fairshare.New(1<<20, 1), 1<<20)
		broken := errors.New("broken")
		err := buffer.readFrom(io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(broken)), -1)
		require.ErrorIs(t, err, broken)
	}
}
