package upstream

import (
	"context"
	"net/http"
	"time"

	"shaletrestle/coord/attempt"
)

// PartKind says what a part of a response is.
type PartKind int

// The kinds of parts. A complete response is PartHead, PartBody, PartEnd; a stream is PartHead, any number of PartEvent,
// PartEnd. PartFailure ends either at any point.
const (
	PartHead PartKind = iota
	PartBody
	PartEvent
	PartEnd
	PartFailure
)

// Part is one step of a response.
type Part struct {
	Kind           PartKind
	Status         int
	Header         http.Header
	Bytes          []byte
	ID             int64         // of an event, -1 if it has none
	State          attempt.State // of a PartEnd: Answered or NotExecuted
	Cause          string
	ConnectionLost bool // the connection itself failed
	Reset          bool // it ended before the first byte of a response
}

// notExecuted reports whether a head says that the replica did not run the request. It is a promise only once the response
// is complete.
func notExecuted(status int, head http.Header) bool {
	return status == http.StatusMisdirectedRequest || head.Get(HeaderNotExecuted) != ""
}

// Response gives the parts of the response to one request, in order. Close must be called when no more are wanted.
type Response struct {
	connection *Connection
	exchange   *exchange
}

// Next waits for the next part; ok is false if the context ended or late fired first. A part that has come is given in any
// case.
func (r *Response) Next(ctx context.Context, late <-chan time.Time) (p Part, ok bool) {
	select {
	case p = <-r.exchange.parts:
		return p, true
	default:
	}
	select {
	case p = <-r.exchange.parts:
	case <-r.connection.closed: // what was delivered before still counts
		select {
		case p = <-r.exchange.parts:
		default:
			p = Part{Kind: PartFailure, Cause: "closed"}
		}
	case <-late:
		return p, false
	case <-ctx.Done():
		return p, false
	}
	return p, true
}

// Close ends the interest in the response; a connection whose response was not read to its end is closed.
func (r *Response) Close() {
	if r.connection.exchange.CompareAndSwap(r.exchange, abandonedExchange) {
		r.connection.Close()
	}
	select {
	case <-r.exchange.abandoned:
	default:
		close(r.exchange.abandoned)
	}
}
