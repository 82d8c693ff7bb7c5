package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// countedSource counts what is read of a source.
type countedSource struct {
	source io.Reader
	read   int
}

func (c *countedSource) Read(buffer []byte) (int, error) {
	n, err := c.source.Read(buffer)
	c.read += n
	return n, err
}

// fuzzExchange is an exchange with memory of a small machine whose parts nobody takes until the end.
func fuzzExchange(memory *ResponseMemory) *exchange {
	x := newLargeExchange(memory, "a")
	x.request = &Request{AttemptID: "a", Events: true}
	x.http = &http.Request{Method: http.MethodPost}
	return x
}

// FuzzIntake reads any bytes as the responses of a replica: no head is read beyond its limits, no memory is left behind, and the
// parts are the same in whatever pieces the bytes come.
func FuzzIntake(f *testing.F) {
	for _, each := range catalogue() {
		f.Add([]byte(each.text))
	}
	f.Add([]byte(okHead + "Padding: " + string(bytes.Repeat([]byte("x"), 2*maxHeadBytes))))
	f.Add([]byte(okHead + "Transfer-Encoding: chunked\r\n\r\n" + string(bytes.Repeat([]byte("1\r\nx\r\n"), 20000))))
	f.Add([]byte(eventsHead + string(bytes.Repeat([]byte("8\r\ndata: x\n\r\n"), 2000))))
	f.Fuzz(func(t *testing.T, sent []byte) {
		whole, wholeErr := readFuzzed(t, bytes.NewReader(sent))
		pieces, piecesErr := readFuzzed(t, iotest.OneByteReader(bytes.NewReader(sent)))
		if wholeErr == nil {
			require.NoError(t, piecesErr)
			require.Equal(t, whole, pieces)
		}
	})
}

// readFuzzed reads one response and gives its body and events, one after the other.
func readFuzzed(t *testing.T, source io.Reader) (content []byte, err error) {
	t.Helper()
	memory := NewResponseMemory(1 << 20)
	x := fuzzExchange(memory)
	counted := &countedSource{source: source}
	in := &intake{source: counted, counts: &ByteCounts{}, account: x.account}
	reader := bufio.NewReaderSize(in, readBufferBytes)
	response, _, err := matchingResponse(in, reader, x)
	if err != nil {
		require.LessOrEqual(t, counted.read, (1+maxSurplusResponses)*(maxHeadBytes+maxSurplusBytes+2*readBufferBytes))
		x.abandon()
		require.Zero(t, memory.Used())
		return nil, err
	}
	in.begin(PhaseBody)
	result := make(chan error, 1)
	go func() { result <- deliverBody(&bodyReader{in: in, source: response.Body, exchange: x}, response, x) }()
	content, _, err = takeBody(x, result)
	x.abandon()
	require.Zero(t, memory.Used())
	return content, err
}
