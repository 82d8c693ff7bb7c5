package upstream

import (
	"bufio"
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
	readBufferBytes     = 4 << 10                // of each connection
	maxEventBytes       = 1 << 20                // of one event of a stream
	aheadBytes          = 64 << 10               // of events that the reader may be ahead of whoever relays them, or one event
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

// deliverAhead delivers a part whose bytes count until the caller has done with it; false if nobody wants the response any more.
func (x *exchange) deliverAhead(p Part) bool {
	x.ahead.Add(int64(len(p.Bytes)))
	return x.deliver(p)
}

// awaitAhead waits until the caller has done with all delivered parts but for so many bytes; false if nobody wants the response any
// more.
func (x *exchange) awaitAhead(bytes int64) bool {
	for x.ahead.Load() > bytes {
		select {
		case <-x.done:
		case <-x.abandoned:
			return false
		}
	}
	return true
}

// doneWith is called when the caller has done with a part.
func (x *exchange) doneWith(p *Part) {
	if len(p.Bytes) == 0 {
		return
	}
	if p.counted > 0 {
		x.account.give(p.counted)
	}
	x.ahead.Sub(int64(len(p.Bytes)))
	select {
	case x.done <- struct{}{}:
	default:
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
	in.account = x.account
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
	if !x.deliver(Part{Kind: PartHead, Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}) {
		return false
	}
	in.begin(PhaseBody)
	err = deliverBody(&bodyReader{in: in, source: response.Body, exchange: x}, response, x)
	if err != nil {
		return c.failResponse(x, err, ReasonInvalidBody)
	}
	keep := isFirst && !response.Close && response.ProtoAtLeast(1, 1) && br.Buffered() == 0
	return c.finish(x, response, keep)
}

// failResponse ends an exchange whose response can't be used, and its connection. The reason is a general one, for errors that bear
// none.
func (c *Connection) failResponse(x *exchange, err error, general FailureReason) (keep bool) {
	reason := reasonOf(err, general)
	if !errors.Is(err, errAbandoned) {
		c.pool.failures[reason].Inc()
	}
	x.deliver(Part{Kind: PartFailure, Cause: err.Error(), Reason: reason})
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
	case success && IsNotExecuted(status, response.Header):
		return errContradiction
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	case endsWithConnection(response) && x.http.Method != http.MethodHead:
		return errNoLength
	}
	return nil
}

// deliverBody delivers a body: a stream event by event, any other complete or in blocks.
func deliverBody(reader *bodyReader, response *http.Response, x *exchange) error {
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if x.request.Events && response.StatusCode == http.StatusOK && stream {
		x.isStream = true
		return deliverEvents(reader, x)
	}
	err := deliverPlain(reader, response, x)
	var typed *ResponseError
	if errors.Is(err, errAbandoned) || errors.As(err, &typed) {
		return err
	}
	if err != nil {
		return errBodyCut
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
	if IsNotExecuted(response.StatusCode, response.Header) {
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
