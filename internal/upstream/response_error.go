package upstream

import "errors"

// FailureReason is why what came from a replica is not the response to a request.
type FailureReason int

// The reasons. Their texts are labels of a metric.
const (
	ReasonConnectionLost FailureReason = iota // the connection ended, or was silent
	ReasonSurplus                             // a response to something else
	ReasonInvalidHead                         // a head that can't be read, or that contradicts the protocol
	ReasonHeadTooLarge
	ReasonInvalidBody  // framing that can't be read, or a body that ended early
	ReasonInvalidEvent // a stream that ended inside an event
	ReasonBodyTooLarge
	ReasonFraming // much framing around little content
	ReasonEventTooLarge
	ReasonTooManyEvents // more than the request allows tokens
	ReasonOverShare     // the replica has its share of the memory for responses
	ReasonNoMemory      // there is none although it has not: that says nothing of the replica
	reasonCount
)

var reasonTexts = [reasonCount]string{
	ReasonConnectionLost: "connection_lost",
	ReasonSurplus:        "surplus",
	ReasonInvalidHead:    "invalid_head",
	ReasonHeadTooLarge:   "head_too_large",
	ReasonInvalidBody:    "invalid_body",
	ReasonInvalidEvent:   "invalid_event",
	ReasonBodyTooLarge:   "body_too_large",
	ReasonFraming:        "framing",
	ReasonTooManyEvents:  "too_many_events",
	ReasonOverShare:      "over_share",
	ReasonNoMemory:       "no_memory",
	ReasonEventTooLarge:  "event_too_large",
}

// IsLimit reports whether the replica went over a limit of bytes, work or memory.
func (r FailureReason) IsLimit() bool {
	switch r {
	case ReasonHeadTooLarge, ReasonBodyTooLarge, ReasonFraming, ReasonEventTooLarge, ReasonTooManyEvents, ReasonOverShare:
		return true
	}
	return false
}

// String is the reason as a label.
func (r FailureReason) String() string { return reasonTexts[r] }

// ResponseError is an error in what a replica sent.
type ResponseError struct {
	Reason FailureReason
	text   string
}

// Error is a text for logs.
func (e *ResponseError) Error() string { return e.text }

// reasonOf is the reason of an error of reading a response, or a general one if it bears none.
func reasonOf(err error, general FailureReason) FailureReason {
	var response *ResponseError
	if errors.As(err, &response) {
		return response.Reason
	}
	return general
}

// The errors of responses.
var (
	errSurplus       = &ResponseError{ReasonSurplus, "an answer to something else"}
	errSwitched      = &ResponseError{ReasonInvalidHead, "switched protocols"}
	errStatus        = &ResponseError{ReasonInvalidHead, "a status that is none"}
	errNoSeal        = &ResponseError{ReasonInvalidHead, "no seal"}
	errContradiction = &ResponseError{ReasonInvalidHead, "a success that claims not to have run"}
	errEncoded       = &ResponseError{ReasonInvalidHead, "an encoded body"}
	errNoLength      = &ResponseError{ReasonInvalidHead, "an answer without a length"}
	errHeadTooLarge  = &ResponseError{ReasonHeadTooLarge, "a head over the limit"}
	errBodyCut       = &ResponseError{ReasonInvalidBody, "body cut short"}
	errBodyTooLarge  = &ResponseError{ReasonBodyTooLarge, "a body over the limit"}
	errFraming       = &ResponseError{ReasonFraming, "a body that is framing for the most part"}
	errOverShare     = &ResponseError{ReasonOverShare, "the replica's share of the memory is taken"}
	errNoMemory      = &ResponseError{ReasonNoMemory, "no memory for the response"}
	errEventTooLarge = &ResponseError{ReasonEventTooLarge, "an event over the limit"}
	errTooManyEvents = &ResponseError{ReasonTooManyEvents, "more events than the request allows"}
	errEventCut      = &ResponseError{ReasonInvalidEvent, "cut inside an event"}
)

// errAbandoned says that nobody wants the response any more; it says nothing of the replica.
var errAbandoned = errors.New("abandoned")
