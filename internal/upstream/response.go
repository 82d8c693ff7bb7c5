package upstream

import (
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

// NotRun reports whether a head says that the replica did not run the request. It is a promise only once the response is
// complete.
func (p *Part) NotRun() bool {
	return notExecuted(p.Status, p.Header)
}

func notExecuted(status int, head http.Header) bool {
	return status == http.StatusMisdirectedRequest || head.Get(HeaderNotExecuted) != ""
}

// Response gives the parts of the response to one request, in order. Close must be called when no more are wanted.
type Response struct {
	connection *Connection
	exchange   *exchange
}

// Next waits for the next part; ok is false if late or quit fired first.
func (a *Response) Next(late <-chan time.Time, quit <-chan struct{}) (p Part, ok bool) {
	select {
	case p = <-a.exchange.parts:
		return p, true
	default:
	}
	select {
	case p = <-a.exchange.parts:
	case <-a.connection.closed: // what was delivered before still counts
		select {
		case p = <-a.exchange.parts:
		default:
			p = Part{Kind: PartFailure, Cause: "closed"}
		}
	case <-late:
		return p, false
	case <-quit:
		return p, false
	}
	return p, true
}

// Close ends the interest in the response; a connection whose response was not read to its end is closed.
func (a *Response) Close() {
	if a.connection.exchange.CompareAndSwap(a.exchange, abandonedExchange) {
		a.connection.Close()
	}
	select {
	case <-a.exchange.abandoned:
	default:
		close(a.exchange.abandoned)
	}
}
