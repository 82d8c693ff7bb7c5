package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"shaletrestle/internal/durations"

	"shaletrestle/coord/attempt"
)

const (
	surplusMost = 3   // answers of others that are passed over before a connection is given up
	statusMost  = 599 // the largest status that is an answer
)

// Reasons for which what came is not the answer to the request.
var (
	errSurplus       = errors.New("an answer to something else")
	errSwitched      = errors.New("switched protocols")
	errStatus        = errors.New("a status that is none")
	errNoSeal        = errors.New("no seal")
	errContradiction = errors.New("a success that claims not to have run")
	errEncoded       = errors.New("an encoded body")
	errNoLength      = errors.New("an answer without a length")
	errBodyCut       = errors.New("body cut short")
	errEventTooLarge = errors.New("an event over the limit")
	errEventCut      = errors.New("cut inside an event")
	errNotWanted     = errors.New("not wanted any more")
)

func (x *exchange) tell(p Part) bool {
	select {
	case x.parts <- p:
		return true
	case <-x.quit:
		return false
	}
}

// read takes answers off the socket for as long as the connection may be used.
func (c *Connection) read() {
	defer c.Close()
	br := bufio.NewReaderSize(c.conn, 4<<10)
	for {
		_, err := br.Peek(1)
		x := c.exchange.Load()
		if x == nil || x == abandoned {
			return // bytes, or an end, while no answer is waited for
		}
		select {
		case <-c.start:
		case <-c.dead:
			x.tell(Part{Kind: PartFailure, Cause: "closed"})
			return
		}
		if err != nil {
			silent := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
			x.tell(Part{Kind: PartFailure, Cause: "no answer: " + err.Error(), ConnectionLost: true, Reset: !silent})
			return
		}
		if !c.answer(br, x) {
			return
		}
	}
}

// answer reads one answer; true means that the connection may be used again.
func (c *Connection) answer(br *bufio.Reader, x *exchange) bool {
	response, alone, err := ownResponse(br, x)
	if err != nil {
		x.tell(Part{Kind: PartFailure, Cause: err.Error()})
		return false
	}
	if response.Close {
		c.pool.made.Closing.Inc()
	}
	err = proper(response, x)
	if err != nil {
		x.tell(Part{Kind: PartFailure, Cause: err.Error()})
		return false
	}
	if !x.tell(Part{Kind: PartHead, Status: response.StatusCode, Header: response.Header}) {
		return false
	}
	err = passBody(response, x)
	if err != nil {
		x.tell(Part{Kind: PartFailure, Cause: err.Error()})
		return false
	}
	keep := alone && !response.Close && response.ProtoAtLeast(1, 1) && br.Buffered() == 0
	return c.end(x, response, keep)
}

// ownResponse reads up to the head of the answer to the exchange. alone is false if answers to something
// else came before it.
func ownResponse(br *bufio.Reader, x *exchange) (response *http.Response, alone bool, err error) {
	for skipped := 0; ; {
		response, err = http.ReadResponse(br, x.http)
		if err != nil {
			return nil, false, errors.New("not an answer: " + err.Error())
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
		if skipped > surplusMost || response.Close || unbounded(response) {
			return nil, false, errSurplus
		}
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, MaxAnswerBytes))
		if err != nil {
			return nil, false, errSurplus
		}
	}
}

// unbounded tells whether only the connection's end would end a body.
func unbounded(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// proper tells what is wrong with the head of an answer.
func proper(response *http.Response, x *exchange) error {
	status := response.StatusCode
	success := status < http.StatusMultipleChoices
	switch {
	case status < http.StatusOK || status > statusMost:
		return errStatus
	case success && response.Header.Get(HeaderSeal) == "":
		return errNoSeal
	case success && notExecuted(status, response.Header):
		return errContradiction
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	case unbounded(response) && x.http.Method != http.MethodHead:
		return errNoLength
	}
	return nil
}

// passBody tells the parts of an answer's body.
func passBody(response *http.Response, x *exchange) error {
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if x.request.Events && response.StatusCode == http.StatusOK && stream {
		return passEvents(response.Body, x)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil || len(body) > MaxAnswerBytes {
		return errBodyCut
	}
	if !x.tell(Part{Kind: PartBody, Bytes: body}) {
		return errNotWanted
	}
	return nil
}

// end closes an exchange whose answer came whole. The connection goes back before the end is told, so
// that whoever hears of it finds the connection free; one that isn't taken back is closed only after the
// end was told, so that the close can't overtake it.
func (c *Connection) end(x *exchange, response *http.Response, keep bool) bool {
	select {
	case <-c.written: // an answer may come before its request was written whole
	case <-c.dead:
		keep = false
	case <-x.quit:
		keep = false
	}
	if c.rested > 0 {
		c.pool.keep.RecordReuse(c.rested, time.Now())
	}
	c.used, c.lastID = true, x.request.AttemptID
	keep = keep && c.exchange.CompareAndSwap(x, nil) // not if the answer was dropped at this moment
	if keep {
		c.idle = time.Now()
		c.expires = c.idle.Add(keepFor(response.Header))
		keep = c.pool.put(c)
	}
	state := attempt.Answered
	if notExecuted(response.StatusCode, response.Header) {
		state = attempt.NotExecuted
	}
	x.tell(Part{Kind: PartEnd, State: state})
	return keep
}

// keepFor is how long an idle connection may be used again: a little less than its Keep-Alive says.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, durations.FromSeconds(float64(n))-keepMargin)
		}
	}
	return keepIdle
}

// passEvents tells whole events.
func passEvents(r io.Reader, x *exchange) error {
	br := bufio.NewReaderSize(r, 4<<10)
	var event []byte
	id := int64(-1)
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > eventMax {
			return errEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(event) == 0 {
			return nil
		}
		if err == io.EOF {
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
		if !x.tell(Part{Kind: PartEvent, Bytes: event, ID: id}) {
			return errNotWanted
		}
		event, id = nil, -1
	}
}
