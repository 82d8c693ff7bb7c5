package upstream

import (
	"context"
	"net/http"
	"time"

	"shaletrestle/coord/attempt"
)

// PartKind says what a part of a response is.
type PartKind int

// The kinds of parts. A complete response is PartHead, PartBody, PartEnd, or with PartBlock, at least one, in place of PartBody if
// it is passed on as it comes; a stream is PartHead, any number of PartEvent, PartEnd. PartFailure ends any at any point.
const (
	PartHead PartKind = iota
	PartBody
	PartBlock
	PartEvent
	PartEnd
	PartFailure
)

// Part is one step of a response.
type Part struct {
	Kind           PartKind
	Status         int
	Header         http.Header
	Length         int64 // of the body, of a PartHead; negative if it is not known
	Bytes          []byte
	ID             int64         // of an event, -1 if it has none
	State          attempt.State // of a PartEnd: Answered or NotExecuted
	Cause          string
	Reason         FailureReason // of a PartFailure
	ConnectionLost bool          // the connection itself failed
	Reset          bool          // it ended before the first byte of a response
	counted        int64         // bytes of memory that are given back when the caller has done with it
}

// IsNotExecuted reports whether a head says that the replica did not run the request. It is a promise only once the response
// is complete.
func IsNotExecuted(status int, head http.Header) bool {
	return status == http.StatusMisdirectedRequest || head.Get(HeaderNotExecuted) != ""
}

// Response gives the parts of the response to one request, in order. Close must be called when no more are wanted.
type Response struct {
	connection *Connection
	exchange   *exchange
	last       Part // that Next gave
}

// Next waits for the next part; ok is false if the context ended or late fired first. A part that has come is given in any
// case. The caller has done with the part before, but for a PartHead and a PartBody, which it may keep until Close.
func (r *Response) Next(ctx context.Context, late <-chan time.Time) (p Part, ok bool) {
	r.exchange.doneWith(&r.last)
	r.last = Part{}
	p, ok = r.next(ctx, late)
	if ok {
		r.last = p
	}
	return p, ok
}

func (r *Response) next(ctx context.Context, late <-chan time.Time) (p Part, ok bool) {
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
		r.exchange.abandon()
	}
}
