package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// largeResponse is a response with a body, whose length is told or not.
func largeResponse(body io.Reader, length int64) *http.Response {
	return &http.Response{ContentLength: length, Body: io.NopCloser(body)}
}

func newLargeExchange(memory *ResponseMemory, replica string) *exchange {
	return &exchange{
		parts:     make(chan Part, partsAhead),
		account:   &account{memory: memory, replica: replica},
		done:      make(chan struct{}, 1),
		abandoned: make(chan struct{}),
	}
}

// deliverLarge delivers a response as a connection's reader does.
func deliverLarge(x *exchange, response *http.Response) error {
	return deliverPlain(&bodyReader{in: &intake{}, source: response.Body, exchange: x}, response, x)
}

// takeBody takes a body's parts as a caller does, until the reader has returned.
func takeBody(x *exchange, result <-chan error) (body []byte, kinds []PartKind, err error) {
	for {
		select {
		case p := <-x.parts:
			body = append(body, p.Bytes...)
			kinds = append(kinds, p.Kind)
			x.doneWith(&p)
		case err := <-result:
			for len(x.parts) > 0 {
				p := <-x.parts
				body = append(body, p.Bytes...)
				kinds = append(kinds, p.Kind)
			}
			return body, kinds, err
		}
	}
}

// readLarge delivers a response and takes all of it.
func readLarge(x *exchange, response *http.Response) (body []byte, kinds []PartKind, err error) {
	result := make(chan error, 1)
	go func() { result <- deliverLarge(x, response) }()
	return takeBody(x, result)
}

func TestDeliverPlain_AnyLength_WholeBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 64 << 10, heldBodyBytes - 1, heldBodyBytes, heldBodyBytes + 1, 3 * heldBodyBytes} {
		content := bytes.Repeat([]byte("answer "), size/7+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			for _, memory := range []*ResponseMemory{nil, NewResponseMemory(0), NewResponseMemory(10 << 10), NewResponseMemory(8 << 20)} {
				x := newLargeExchange(memory, "a")
				body, kinds, err := readLarge(x, largeResponse(iotest.DataErrReader(bytes.NewReader(content)), length))
				require.NoError(t, err, size)
				require.Equal(t, string(content), string(body), size)
				if size < heldBodyBytes && (memory == nil || memory.shares.Used() > 10<<10) {
					require.Equal(t, []PartKind{PartBody}, kinds, "it is held until it is complete")
				}
				x.abandon()
				if memory != nil {
					require.Zero(t, memory.Used())
				}
			}
		}
	}
}

// TestDeliverPlain_ManyLargeAnswers_HoldNoMoreThanGranted guards against answers that take a router over its memory.
func TestDeliverPlain_ManyLargeAnswers_HoldNoMoreThanGranted(t *testing.T) {
	const size, capacity, answers = 4 * heldBodyBytes, 3 * heldBodyBytes, 10
	synctest.Test(t, func(t *testing.T) {
		memory := NewResponseMemory(capacity)
		results := make([]chan error, answers)
		exchanges := make([]*exchange, answers)
		for i := range answers {
			x := newLargeExchange(memory, "a")
			results[i], exchanges[i] = make(chan error, 1), x
			go func() { results[i] <- deliverLarge(x, largeResponse(bytes.NewReader(make([]byte, size)), size)) }()
		}
		synctest.Wait()
		require.NotZero(t, memory.Used())
		require.LessOrEqual(t, memory.Used(), int64(capacity))
		held := int64(0)
		for _, x := range exchanges {
			held += x.ahead.Load()
		}
		require.LessOrEqual(t, held, int64(capacity+answers*smallBlockBytes), "what is held is what was granted")
		for i, x := range exchanges {
			ahead := x.ahead.Load()
			require.LessOrEqual(t, ahead, int64(heldBodyBytes), "nobody takes it")
			body, _, err := takeBody(x, results[i])
			require.NoError(t, err)
			require.Len(t, body, size)
			x.abandon()
		}
		require.Zero(t, memory.Used())
	})
}

// TestDeliverPlain_OneReplicaTakesAllItCan_OthersAreHeldWhole guards against a replica whose bytes keep others from being served.
func TestDeliverPlain_OneReplicaTakesAllItCan_OthersAreHeldWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewResponseMemory(16 * heldBodyBytes)
		var faulty []*exchange
		for range 100 {
			x := newLargeExchange(memory, "faulty")
			reader, writer := io.Pipe()
			faulty = append(faulty, x)
			go func() { _ = deliverLarge(x, largeResponse(reader, MaxResponseBytes)) }()
			go func() {
				_, _ = writer.Write(make([]byte, heldBodyBytes-1)) // and no more
			}()
			defer func() { _ = reader.Close() }()
		}
		synctest.Wait()
		for range 4 {
			x := newLargeExchange(memory, "well")
			body, kinds, err := readLarge(x, largeResponse(bytes.NewReader(make([]byte, heldBodyBytes/2)), heldBodyBytes/2))
			require.NoError(t, err)
			require.Len(t, body, heldBodyBytes/2)
			require.Equal(t, []PartKind{PartBody}, kinds)
			defer x.abandon()
		}
		for _, x := range faulty {
			x.abandon()
		}
		synctest.Wait()
	})
}

func TestDeliverPlain_NobodyWantsItAnyMore_GivesUpAndHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewResponseMemory(8 * heldBodyBytes)
		x := newLargeExchange(memory, "a")
		result := make(chan error, 1)
		go func() {
			result <- deliverLarge(x, largeResponse(bytes.NewReader(make([]byte, 4*heldBodyBytes)), 4*heldBodyBytes))
		}()
		synctest.Wait()
		require.NotZero(t, memory.Used())
		x.abandon()
		require.ErrorIs(t, <-result, errAbandoned)
		require.Zero(t, memory.Used())
		require.ErrorIs(t, x.account.take(1), errAbandoned)
	})
}

func TestDeliverPlain_CutOrTooLong_Fails(t *testing.T) {
	broken := errors.New("broken")
	for _, size := range []int{1, 2 * firstBodyBytes, 2 * heldBodyBytes} {
		for _, length := range []int64{MaxResponseBytes, -1} {
			for _, memory := range []*ResponseMemory{nil, NewResponseMemory(0)} {
				for _, cut := range []error{broken, io.ErrUnexpectedEOF} {
					x := newLargeExchange(memory, "a")
					body := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(cut))
					_, _, err := readLarge(x, largeResponse(body, length))
					require.ErrorIs(t, err, cut)
				}
			}
		}
	}
	for _, length := range []int64{MaxResponseBytes + 1, -1} {
		x := newLargeExchange(nil, "a")
		_, _, err := readLarge(x, largeResponse(bytes.NewReader(make([]byte, MaxResponseBytes+2)), length))
		require.ErrorIs(t, err, errBodyTooLarge)
	}
}

func TestAccount_TakeAndGive_InStepsAndNothingIsLeft(t *testing.T) {
	memory := NewResponseMemory(10 * memoryStepBytes)
	a := &account{memory: memory, replica: "a"}
	for range 1000 {
		require.NoError(t, a.take(100))
		a.give(100)
	}
	require.Equal(t, int64(memoryStepBytes), memory.Used())
	require.NoError(t, a.take(3*memoryStepBytes+1))
	require.Equal(t, int64(4*memoryStepBytes), memory.Used())
	a.give(3 * memoryStepBytes)
	require.Equal(t, int64(memoryStepBytes), memory.Used())
	a.end()
	a.give(1)
	a.end()
	require.Zero(t, memory.Used())
}

// TestAccount_Shortage_SaysWhose guards against replicas that are blamed for what another one takes.
func TestAccount_Shortage_SaysWhose(t *testing.T) {
	memory := NewResponseMemory(100 * memoryStepBytes)
	heavy := &account{memory: memory, replica: "heavy"}
	require.NoError(t, heavy.take(50*memoryStepBytes))
	require.ErrorIs(t, heavy.take(memoryStepBytes), errOverShare)
	light := &account{memory: memory, replica: "light"}
	require.NoError(t, light.take(30*memoryStepBytes))
	third := &account{memory: memory, replica: "third"}
	require.NoError(t, third.take(20*memoryStepBytes))
	require.ErrorIs(t, third.take(memoryStepBytes), errNoMemory)
}

func TestResponse_EventsWithoutEndOfOne_FailWithinTheLimits(t *testing.T) {
	head := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, piece := range []string{"7\r\ndata: x\r\n", "8\r\ndata: x\n\r\n", "3\r\n:x\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			each := endless{beginning: head, piece: piece}
			failure, pool := playEndless(t, &each)
			require.Contains(t, []FailureReason{ReasonEventTooLarge, ReasonFraming}, failure.Reason)
			require.Len(t, pool.Failures(), 1)
			require.LessOrEqual(t, each.sent, 2*maxEventBytes)
		})
	}
}

func TestResponse_ChunksOfOneByte_FailAsFraming(t *testing.T) {
	for _, head := range []string{okHead, strings.Replace(okHead, "200", "500", 1)} {
		synctest.Test(t, func(t *testing.T) {
			each := endless{beginning: head + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n"}
			failure, _ := playEndless(t, &each)
			require.Equal(t, ReasonFraming, failure.Reason)
			require.LessOrEqual(t, each.sent, 2*framingBytes)
		})
	}
}
