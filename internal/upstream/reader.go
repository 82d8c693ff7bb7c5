package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"shaletrestle/coord/attempt"
	"shaletrestle/internal/durations"
)

const (
	// MaxResponseBytes bounds one complete response kept in memory.
	MaxResponseBytes = 32 << 20

	readBufferBytes     = 4 << 10                // of each connection
	maxEventBytes       = 1 << 20                // of one event of a stream
	keepAliveMargin     = 300 * time.Millisecond // an idle connection is not used this long before its Keep-Alive ends
	defaultIdleTime     = 20 * time.Second       // of connections whose responses name no Keep-Alive
	maxSurplusResponses = 3                      // responses to others that are skipped before a connection is given up
	maxSurplusBytes     = 1 << 20                // of such a response's body
	maxStatus           = 599                    // the largest status that is an answer
)

// deliver gives a part to the caller; false if nobody wants the response any more.
func (x *exchange) deliver(p Part) bool {
	select {
	case x.parts <- p:
		return true
	case <-x.abandoned:
		return false
	}
}

// read reads responses for as long as the connection may be used.
func (c *Connection) read() {
	defer c.Close()
	in := &intake{source: c.conn, counts: &c.pool.counts.Received}
	br := bufio.NewReaderSize(in, readBufferBytes)
	for {
		_, err := br.Peek(1)
		x := c.exchange.Load()
		if x == nil || x == abandonedExchange {
			return // bytes, or an end, while no response is due
		}
		select {
		case <-c.start:
		case <-c.closed:
			x.deliver(Part{Kind: PartFailure, Cause: "closed"})
			return
		}
		if err != nil {
			silent := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
			c.pool.failures[ReasonConnectionLost].Inc()
			x.deliver(Part{Kind: PartFailure, Cause: "no answer: " + err.Error(), ConnectionLost: true, Reset: !silent})
			return
		}
		if !c.readResponse(in, br, x) {
			return
		}
		in.begin(PhaseHead)
	}
}

// readResponse reads the response to an exchange and reports whether the connection may be used again.
func (c *Connection) readResponse(in *intake, br *bufio.Reader, x *exchange) bool {
	response, isFirst, err := matchingResponse(in, br, x)
	if in.exceeded != nil {
		err = in.exceeded
	}
	if err != nil {
		return c.failResponse(x, err, ReasonInvalidHead)
	}
	if response.Close {
		c.pool.counts.Closing.Inc()
	}
	err = validate(response, x)
	if err != nil {
		return c.failResponse(x, err, ReasonInvalidHead)
	}
	if !x.deliver(Part{Kind: PartHead, Status: response.StatusCode, Header: response.Header}) {
		return false
	}
	in.begin(PhaseBody)
	err = deliverBody(response, x)
	if err != nil {
		return c.failResponse(x, err, ReasonInvalidBody)
	}
	keep := isFirst && !response.Close && response.ProtoAtLeast(1, 1) && br.Buffered() == 0
	return c.finish(x, response, keep)
}

// failResponse ends an exchange whose response can't be used, and its connection. The reason is a general one, for errors that bear
// none.
func (c *Connection) failResponse(x *exchange, err error, general FailureReason) (keep bool) {
	if !errors.Is(err, errAbandoned) {
		c.pool.failures[reasonOf(err, general)].Inc()
	}
	x.deliver(Part{Kind: PartFailure, Cause: err.Error()})
	return false
}

// matchingResponse reads up to the head of the response to the exchange. isFirst is false if
// answers to something else came before it.
func matchingResponse(in *intake, br *bufio.Reader, x *exchange) (response *http.Response, isFirst bool, err error) {
	for skipped := 0; ; {
		response, err = http.ReadResponse(br, x.http)
		if err != nil {
			return nil, false, fmt.Errorf("not an answer: %w", err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errSwitched
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if response.Header.Get(HeaderAttemptID) == x.request.AttemptID {
			return response, skipped == 0, nil
		}
		skipped++
		if skipped > maxSurplusResponses || response.Close || endsWithConnection(response) {
			return nil, false, errSurplus
		}
		if !skipBody(in, response) {
			return nil, false, errSurplus
		}
	}
}

// skipBody reads the body of a surplus response; false if that does not end within the limit.
func skipBody(in *intake, response *http.Response) bool {
	in.begin(PhaseBody)
	defer in.begin(PhaseHead)
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
	return err == nil && n < maxSurplusBytes
}

// endsWithConnection reports whether only the connection's end would end a body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// validate says what is wrong with the head of a response; nil if nothing is.
func validate(response *http.Response, x *exchange) error {
	status := response.StatusCode
	success := status < http.StatusMultipleChoices
	switch {
	case status < http.StatusOK || status > maxStatus:
		return errStatus
	case success && response.Header.Get(HeaderSeal) == "":
		return errNoSeal
	case success && notExecuted(status, response.Header):
		return errContradiction
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	case endsWithConnection(response) && x.http.Method != http.MethodHead:
		return errNoLength
	}
	return nil
}

// deliverBody delivers a body complete, or a stream event by event.
func deliverBody(response *http.Response, x *exchange) error {
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if x.request.Events && response.StatusCode == http.StatusOK && stream {
		return deliverEvents(response.Body, x)
	}
	body, err := x.readComplete(response)
	if errors.Is(err, errAbandoned) {
		return errAbandoned
	}
	if err != nil {
		return errBodyCut
	}
	if !x.deliver(Part{Kind: PartBody, Bytes: body}) {
		return errAbandoned
	}
	return nil
}

// finish closes an exchange whose response is complete. The connection goes back to the pool before the end is
// delivered, so that whoever learns of it finds the connection free; one that the pool doesn't take is closed only after
// that, so that the close can't overtake the end.
func (c *Connection) finish(x *exchange, response *http.Response, keep bool) bool {
	select {
	case <-c.written: // an answer may come before its request was written completely
	case <-c.closed:
		keep = false
	case <-x.abandoned:
		keep = false
	}
	if c.idleBefore > 0 {
		c.pool.keepAlive.recordReuse(c.idleBefore, time.Now())
	}
	c.used, c.lastID = true, x.request.AttemptID
	keep = keep && c.exchange.CompareAndSwap(x, nil) // not if the answer was dropped at this moment
	if keep {
		c.idleSince = time.Now()
		c.expires = c.idleSince.Add(idleTimeOf(response.Header))
		keep = c.pool.put(c)
	}
	state := attempt.Answered
	if notExecuted(response.StatusCode, response.Header) {
		state = attempt.NotExecuted
	}
	x.deliver(Part{Kind: PartEnd, State: state})
	return keep
}

// idleTimeOf is how long a connection may be idle after a response: a little less than its Keep-Alive says.
func idleTimeOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, durations.FromSeconds(float64(n))-keepAliveMargin)
		}
	}
	return defaultIdleTime
}

// deliverEvents delivers the complete events of a stream.
func deliverEvents(r io.Reader, x *exchange) error {
	br := bufio.NewReaderSize(r, 4<<10)
	var event []byte
	id := int64(-1)
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errEventCut
		}
		if err != nil {
			return errors.New("cut: " + err.Error())
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
		if len(text) > 0 {
			continue
		}
		if !x.deliver(Part{Kind: PartEvent, Bytes: event, ID: id}) {
			return errAbandoned
		}
		event, id = nil, -1
	}
}
