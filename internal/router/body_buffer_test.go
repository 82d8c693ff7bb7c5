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
	buffer = &bodyBuffer{
		limit: limit,
		reserve: func(bytes int64) bool {
			if !shares.TryAcquire("route", bytes) {
				return false
			}
			*reserved += bytes
			return true
		},
		release: func(bytes int64) {
			shares.Release("route", bytes)
			*reserved -= bytes
		},
	}
	return buffer, reserved
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
	const capacity, clients, bodyBytes = 4 << 20, 50, 400 << 10
	shares := fairshare.New(capacity, 1)
	held, refused := int64(0), 0
	granted := int64(0)
	for range clients {
		buffer, reserved := accountedBuffer(shares, bodyBytes)
		body := io.MultiReader(bytes.NewReader(make([]byte, bodyBytes-1)), iotest.ErrReader(errors.New("still on its way")))
		if err := buffer.readFrom(body, -1); errors.Is(err, errBodyMemory) {
			refused++
		}
		require.LessOrEqual(t, int64(cap(buffer.content)), *reserved)
		held += int64(cap(buffer.content))
		granted += *reserved
	}
	require.LessOrEqual(t, held, int64(capacity))
	require.Equal(t, granted, shares.Used())
	require.Greater(t, refused, clients/2)
}

// TestBodyBuffer_BodiesThatGrowSideBySide_SomeAreComplete guards against bodies of which each is granted a part and none the rest.
func TestBodyBuffer_BodiesThatGrowSideBySide_SomeAreComplete(t *testing.T) {
	const capacity, clients, bodyBytes, step = 4 << 20, 50, 400 << 10, 4 << 10
	shares := fairshare.New(capacity, 1)
	pipes := make([]*io.PipeWriter, clients)
	results := make(chan error, clients)
	for i := range clients {
		reader, writer := io.Pipe()
		pipes[i] = writer
		go func() {
			buffer, _ := accountedBuffer(shares, bodyBytes)
			err := buffer.readFrom(reader, -1)
			_ = reader.CloseWithError(io.ErrClosedPipe) // what is refused is read no further; its memory is given back later
			results <- err
		}()
	}
	block := make([]byte, step)
	for sent := 0; sent < bodyBytes; sent += step {
		for _, each := range pipes {
			_, _ = each.Write(block)
		}
	}
	complete := 0
	for _, each := range pipes {
		_ = each.Close()
	}
	for range clients {
		if <-results == nil {
			complete++
		}
	}
	require.Equal(t, (capacity-(clients-complete)*smallBodyBytes)/bodyBytes, complete)
}

func TestBodyBuffer_ReaderFails_ItsError(t *testing.T) {
	for _, size := range []int{0, 10, firstBodyBytes} {
		buffer, _ := accountedBuffer(fairshare.New(1<<20, 1), 1<<20)
		broken := errors.New("broken")
		err := buffer.readFrom(io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(broken)), -1)
		require.ErrorIs(t, err, broken)
	}
}
