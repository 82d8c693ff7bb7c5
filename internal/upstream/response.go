package upstream

import (
	"net/http"
	"time"

	"shaletrestle/coord/attempt"
)

// PartKind tells what a part of an answer is.
type PartKind int

// The kinds of parts. A whole answer is Head, then Body, then End; a stream is Head, Events, End. Fail
// ends either at any point.
const (
	PartHead PartKind = iota
	PartBody
	PartEvent
	PartEnd
	PartFailure
)

// Part is one step of an answer.
type Part struct {
	Kind           PartKind
	Status         int
	Header         http.Header
	Bytes          []byte
	ID             int64         // of an event, -1 if it has none
	State          attempt.State // of an End: Answered or NotExecuted
	Cause          string
	ConnectionLost bool // the connection itself failed
	Reset          bool // it ended before the first byte of an answer
}

// NotRun tells whether a head says that the replica did not run the request. It is a promise only once
// the answer has come whole.
func (p *Part) NotRun() bool {
	return notExecuted(p.Status, p.Header)
}

func notExecuted(status int, head http.Header) bool {
	return status == http.StatusMisdirectedRequest || head.Get(HeaderNotExecuted) != ""
}

// Response is what a request gives: its parts in order. Drop must be called when no more are wanted.
type Response struct {
	connection *Connection
	exchange   *exchange
}

// Next gives the next part. late fires when it has taken too long, quit when nobody wants it any more;
// ok is false then.
func (a *Response) Next(late <-chan time.Time, quit <-chan struct{}) (p Part, ok bool) {
	select {
	case p = <-a.exchange.parts:
		return p, true
	default:
	}
	select {
	case p = <-a.exchange.parts:
	case <-a.connection.dead: // what was told before still counts
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

// Close ends the interest in an answer; a connection whose answer was not read to its end is closed.
func (a *Response) Close() {
	if a.connection.exchange.CompareAndSwap(a.exchange, abandoned) {
		a.connection.Close()
	}
	select {
	case <-a.exchange.quit:
	default:
		close(a.exchange.quit)
	}
}
