package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// largeResponse is a response with a body, whose length is told or not.
func largeResponse(body io.Reader, length int64) *http.Response {
	return &http.Response{ContentLength: length, Body: io.NopCloser(body)}
}

func newLargeExchange(memory *AnswerMemory) *exchange {
	return &exchange{memory: memory, abandoned: make(chan struct{})}
}

func TestReadComplete_AnyLength_WholeBody(t *testing.T) {
	for _, size := range []int{0, 1, smallAnswerBytes - 1, smallAnswerBytes, smallAnswerBytes + 1, 5 * smallAnswerBytes} {
		content := bytes.Repeat([]byte("answer "), size/7+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			for _, memory := range []*AnswerMemory{nil, NewAnswerMemory(1 << 20)} {
				x := newLargeExchange(memory)
				body, err := x.readComplete(largeResponse(iotest.DataErrReader(bytes.NewReader(content)), length))
				require.NoError(t, err, size)
				require.Equal(t, string(content), string(body), size)
				close(x.abandoned)
			}
		}
	}
}

// TestReadComplete_ManyLargeAnswers_HoldNoMoreThanGranted guards against answers that take a router over its memory.
func TestReadComplete_ManyLargeAnswers_HoldNoMoreThanGranted(t *testing.T) {
	const size, together, answers = 4 * smallAnswerBytes, 3, 10
	synctest.Test(t, func(t *testing.T) {
		memory := NewAnswerMemory(together * size)
		var read []*exchange
		done := make(chan *exchange, answers)
		for range answers {
			x := newLargeExchange(memory)
			go func() {
				if _, err := x.readComplete(largeResponse(bytes.NewReader(make([]byte, size)), size)); err == nil {
					done <- x
				}
			}()
		}
		for len(read) < answers {
			synctest.Wait()
			require.LessOrEqual(t, len(done), together)
			require.Equal(t, int64(min(together, answers-len(read))*size), memory.Used())
			x := <-done
			read = append(read, x)
			close(x.abandoned) // it was passed on
		}
		synctest.Wait()
		require.Zero(t, memory.Used())
	})
}

func TestReadComplete_NobodyWantsItAnyMore_GivesUpAndHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewAnswerMemory(2 * smallAnswerBytes)
		holder := newLargeExchange(memory)
		_, err := holder.readComplete(largeResponse(bytes.NewReader(make([]byte, 3*smallAnswerBytes)), 3*smallAnswerBytes))
		require.NoError(t, err, "larger than the memory, but alone")
		waiting := newLargeExchange(memory)
		result := make(chan error, 1)
		go func() {
			_, err := waiting.readComplete(largeResponse(bytes.NewReader(make([]byte, 2*smallAnswerBytes)), 2*smallAnswerBytes))
			result <- err
		}()
		synctest.Wait()
		close(waiting.abandoned)
		require.ErrorIs(t, <-result, errAbandoned)
		close(holder.abandoned)
		synctest.Wait()
		require.Zero(t, memory.Used())
	})
}

func TestReadComplete_CutOrTooLong_Fails(t *testing.T) {
	broken := errors.New("broken")
	for _, length := range []int64{MaxResponseBytes, -1} {
		x := newLargeExchange(nil)
		body := io.MultiReader(bytes.NewReader(make([]byte, 2*smallAnswerBytes)), iotest.ErrReader(broken))
		_, err := x.readComplete(largeResponse(body, length))
		require.ErrorIs(t, err, broken)
		close(x.abandoned)
	}
	for _, length := range []int64{MaxResponseBytes + 1, -1} {
		x := newLargeExchange(nil)
		_, err := x.readComplete(largeResponse(bytes.NewReader(make([]byte, MaxResponseBytes+2)), length))
		require.ErrorIs(t, err, errBodyCut)
		close(x.abandoned)
	}
}
