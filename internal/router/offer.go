package router

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/upstream"
)

// pack writes the request as a peer is to send it; nil if that is not possible.
func (req *request) pack() []byte {
	left := time.Until(req.deadline) - responseReserve
	header := req.header.Clone()
	header.Set(upstream.HeaderTimeBudget, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if req.lastEventID >= 0 {
		header.Set(upstream.HeaderLastEventID, strconv.FormatInt(req.lastEventID, 10))
	}
	outgoing := &http.Request{
		Method:        req.inbound.Method,
		URL:           upstream.RequestURL(req.inbound.RequestURI),
		Host:          req.inbound.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(req.body)),
		Body:          http.NoBody,
	}
	if len(req.body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(req.body))
	}
	var packed bytes.Buffer
	if outgoing.Write(&packed) != nil {
		return nil
	}
	return packed.Bytes()
}

// followOffer relays the response of the peer that the request was offered to; outcomeRetry if it came back and may be
// run here.
func (req *request) followOffer(offer *longwork.Offer) outcome {
	defer offer.Close()
	joined := !req.started
	for {
		update, err := offer.Next(req.inbound.Context())
		if err != nil {
			req.abort()
		}
		if out := req.handleUpdate(&update, &joined); out != outcomePending {
			return out
		}
	}
}

// handleUpdate takes one update; joined is as for relayEvent.
func (req *request) handleUpdate(update *longwork.Update, joined *bool) outcome {
	switch update.Kind {
	case longwork.Event:
		if !req.relayEvent(update.Part, update.Part.Header, joined) {
			return req.failOffered("events out of order")
		}
		return outcomePending
	case longwork.Unreadable:
		return req.failOffered("head can't be read")
	case longwork.Reclaimed:
		req.history.AddRemote(req.route.MaxAttempts-update.Attempts-req.history.Sends(), update.MayHaveRun)
		return outcomeRetry
	}
	req.history.AddRemote(update.Attempts, update.MayHaveRun)
	switch update.Kind {
	case longwork.Completed:
		return req.completeOffered(update)
	case longwork.Rejected:
		req.fail(errkind.Overloaded, "no time for long work")
	case longwork.DeadlineExceeded:
		req.fail(errkind.DeadlineExceeded, "time ran out")
	default:
		req.fail(errkind.UpstreamFailure, "the neighbour was lost")
	}
	return outcomeAnswered
}

// failOffered gives the request up: the peer's response can't be used, and the request has run.
func (req *request) failOffered(cause string) outcome {
	req.history.AddRemote(0, true)
	req.fail(errkind.UpstreamFailure, cause)
	return outcomeAnswered
}

// completeOffered takes the end of a response that the peer sent completely.
func (req *request) completeOffered(update *longwork.Update) outcome {
	if update.Part == nil || update.IsStream != req.started {
		req.fail(errkind.UpstreamFailure, "no whole answer")
		return outcomeAnswered
	}
	if update.IsStream {
		req.trail.Finish(requestlog.Served, "by a peer")
		return outcomeAnswered
	}
	return req.complete(update.Part, "")
}
