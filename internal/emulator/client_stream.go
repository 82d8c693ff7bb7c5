package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"shaletrestle/internal/upstream"
)

// eventEnd ends an event of a stream.
const eventEnd = "\n\n"

var errOutOfOrder = errors.New("event out of order")

// readStream takes an answer that is a stream.
func (r *clientRequest) readStream(id string, response *http.Response) attemptResult {
	if err := r.readEvents(response.Body); err != nil {
		return r.incomplete(err)
	}
	r.traffic.rules.checkSuccess(id, response.Header.Get(upstream.HeaderSeal), true)
	return attemptResult{status: response.StatusCode}
}

// readEvents reads a stream to its end. Only a stream with every token in order is
// complete.
func (r *clientRequest) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && event == "" && r.events == r.kind.TokensOut {
			return nil
		}
		if err != nil {
			return fmt.Errorf("stream cut after %d events", r.events)
		}
		if event != eventText(r.events+1) {
			r.traffic.rules.recordOutOfOrder(r.name, event, r.events)
			return errOutOfOrder
		}
		r.received()
	}
}

// readEvent reads one event; with an error it gives what was read of it.
func readEvent(reader *bufio.Reader) (string, error) {
	var event string
	for !strings.HasSuffix(event, eventEnd) {
		line, err := reader.ReadString('\n')
		event += line
		if err != nil {
			return event, err
		}
	}
	return event, nil
}

// received counts an event and the time since the one before it.
func (r *clientRequest) received() {
	now := time.Now()
	r.events++
	if r.firstEvent.IsZero() {
		r.firstEvent = now
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}
