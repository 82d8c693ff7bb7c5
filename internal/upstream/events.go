package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// firstEventBytes is the room for an event at first; it doubles as the event grows.
const firstEventBytes = 128

// event is one event of a stream as it comes.
type event struct {
	content []byte
	id      int64 // -1 if it has none
	counted int64 // bytes of memory taken for it
}

// add takes a line, or a part of one, into memory of the exchange.
func (e *event) add(part []byte, x *exchange) error {
	size := len(e.content) + len(part)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(e.content) {
		room := max(size, 2*cap(e.content), firstEventBytes)
		if err := x.account.take(int64(room) - e.counted); err != nil {
			return err
		}
		e.counted = int64(room)
		larger := make([]byte, len(e.content), room)
		copy(larger, e.content)
		e.content = larger
	}
	e.content = append(e.content, part...)
	return nil
}

// readID takes the id from a line without its end, if it is there.
func (e *event) readID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.id = n
	}
}

// readEvent reads up to the end of an event; io.EOF if the stream ends before another one begins.
func readEvent(reader *bufio.Reader, x *exchange) (*event, error) {
	next := &event{id: -1}
	for {
		line, err := reader.ReadSlice('\n')
		if overLimit := next.add(line, x); overLimit != nil {
			return nil, overLimit
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(next.content) > 0 {
			return nil, errEventCut // it is no end
		}
		if err != nil {
			return nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return next, nil
		}
		next.readID(text)
	}
}

// deliverEvents delivers the complete events of a stream.
func deliverEvents(source io.Reader, x *exchange) error {
	reader := bufio.NewReaderSize(source, readBufferBytes)
	for number := 1; ; number++ {
		next, err := readEvent(reader, x)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eventError(err)
		}
		if x.request.MaxEvents > 0 && number > x.request.MaxEvents {
			return errTooManyEvents
		}
		if !x.pace(1) {
			return errAbandoned
		}
		part := Part{Kind: PartEvent, Bytes: next.content, ID: next.id, counted: next.counted}
		if !x.awaitAhead(aheadBytes) || !x.deliverAhead(part) {
			return errAbandoned
		}
	}
}

// eventError is an error of reading a stream, as its failure says it.
func eventError(err error) error {
	var typed *ResponseError
	if errors.Is(err, errAbandoned) || errors.As(err, &typed) {
		return err
	}
	return &ResponseError{Reason: ReasonInvalidBody, text: "cut: " + err.Error()}
}
