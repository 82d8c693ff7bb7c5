package daemon

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeOutput keeps what is written, blocks while it is stuck and fails while it is gone.
type fakeOutput struct {
	mu    sync.Mutex
	text  strings.Builder
	gone  bool
	stuck chan struct{} // nil: it is not
}

func (o *fakeOutput) Write(line []byte) (int, error) {
	if o.stuck != nil {
		<-o.stuck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return 0, errors.New("broken pipe")
	}
	return o.text.Write(line)
}

func (o *fakeOutput) setGone(gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = gone
}

func (o *fakeOutput) written() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestLogWriter_Lines_InOrderAndWrittenAtClose(t *testing.T) {
	output := &fakeOutput{}
	w := newLogWriter(output)
	var want strings.Builder
	buffer := make([]byte, 0, 32)
	for i := range logQueueLines {
		buffer = fmt.Appendf(buffer[:0], "line %d\n", i) // a caller uses its buffer again
		_, err := w.Write(buffer)
		require.NoError(t, err)
		want.Write(buffer)
	}
	w.Close()
	w.Close()
	require.Equal(t, want.String(), output.written())
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
}

func TestLogWriter_OutputStuck_NobodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &fakeOutput{stuck: make(chan struct{})}
		w := newLogWriter(output)
		start := time.Now()
		for range 3 * logQueueLines {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		w.Close()
		require.Equal(t, logFlushTimeout, time.Since(start), "the end waits, but not for ever")
		close(output.stuck)
		synctest.Wait()
		require.Contains(t, output.written(), "log lines dropped")
	})
}

func TestLogWriter_OutputGoneAndBack_DroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &fakeOutput{}
		w := newLogWriter(output)
		output.setGone(true)
		for range 3 {
			_, _ = w.Write([]byte("lost\n"))
		}
		synctest.Wait()
		output.setGone(false)
		_, _ = w.Write([]byte("kept\n"))
		w.Close()
		require.NotContains(t, output.written(), "lost")
		require.Contains(t, output.written(), "kept\n")
		require.Contains(t, output.written(), `msg="log lines dropped" lines=3`)
	})
}
