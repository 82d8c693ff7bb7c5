package daemon

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/atomic"
)

const (
	// logQueueLines is how many lines wait for an output that does not take them.
	logQueueLines = 1024
	// logFlushTimeout bounds the wait for the lines that are still queued when the process ends.
	logFlushTimeout = 200 * time.Millisecond
)

// logWriter passes log lines on to an output that may be slow, stuck or gone: whoever logs never waits for it. Lines that
// find the queue full, or that the output refuses, are dropped and counted; the count is logged once the output takes lines again.
// Write may be called concurrently.
type logWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	written chan struct{} // closed once the queue is closed and written

	mu     sync.RWMutex // guards closed; held for reading by those who write
	closed bool
}

func newLogWriter(output io.Writer) *logWriter {
	w := &logWriter{output: output, lines: make(chan []byte, logQueueLines), written: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails and never waits.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.dropped.Inc()
	}
	return len(line), nil
}

// run writes lines until Close.
func (w *logWriter) run() {
	defer close(w.written)
	for line := range w.lines {
		if _, err := w.output.Write(line); err != nil {
			w.dropped.Inc()
			continue
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			w.reportDropped(dropped)
		}
	}
}

// reportDropped writes a line about lines that were dropped.
func (w *logWriter) reportDropped(dropped int64) {
	report := slog.New(slog.NewTextHandler(w.output, nil))
	report.Warn("log lines dropped", "lines", dropped)
}

// Close takes no more lines and waits, for logFlushTimeout at most, until those that are queued are written.
func (w *logWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(logFlushTimeout)
	defer timer.Stop()
	select {
	case <-w.written:
	case <-timer.C:
	}
}
