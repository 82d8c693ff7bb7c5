// Package errkind is the table from kinds of errors to HTTP statuses and short texts, for the edges where errors become
// answers. What went wrong is said by typed errors of the packages where it arises; an edge gives them a kind ([With]).
package errkind

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kind is one of the closed list of error kinds. It decides the status of an answer.
type Kind int

// The kinds. To a client of a router, Overloaded and Unavailable promise that nothing was run for the request. To the
// operator, Unavailable promises nothing: a change may have been made or not (adminapi.ControlState).
const (
	None             Kind = iota // no error
	InvalidInput                 // 400: what was sent can't be read or is invalid
	NoRoute                      // 404: no route or call has this host and path
	BodyTooLarge                 // 413: the body is over the limit
	HeaderTooLarge               // 431: the header is over the limit
	ClientTimeout                // 408: the client sends too slowly
	VersionConflict              // 412: another revision is current
	NotPrimary                   // 307: another member answers this
	Unavailable                  // 503: nobody can answer this now
	Overloaded                   // 503: rejected early by load shedding
	UpstreamFailure              // 502: a replica failed and may have run the request
	DeadlineExceeded             // 504: the time ran out and a replica may have run the request
	Internal                     // 500: our own failure
	InvalidSettings              // 500: settings are missing or wrong
)

// answer is what belongs to a kind. The texts are those of answers: they stay as they are.
type answer struct {
	status int
	text   string
}

var answers = map[Kind]answer{
	InvalidInput:     {http.StatusBadRequest, "bad input"},
	NoRoute:          {http.StatusNotFound, "no such path"},
	BodyTooLarge:     {http.StatusRequestEntityTooLarge, "body too large"},
	HeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, "head too large"},
	ClientTimeout:    {http.StatusRequestTimeout, "too slow"},
	VersionConflict:  {http.StatusPreconditionFailed, "another version is current"},
	NotPrimary:       {http.StatusTemporaryRedirect, "ask the primary"},
	Unavailable:      {http.StatusServiceUnavailable, "not ready"},
	Overloaded:       {http.StatusServiceUnavailable, "crowded"},
	UpstreamFailure:  {http.StatusBadGateway, "replica failed"},
	DeadlineExceeded: {http.StatusGatewayTimeout, "time ran out"},
	Internal:         {http.StatusInternalServerError, "internal"},
	InvalidSettings:  {http.StatusInternalServerError, "bad settings"},
}

// kindedError is an error with its kind.
type kindedError struct {
	kind Kind
	err  error
}

func (e *kindedError) Error() string { return e.err.Error() }
func (e *kindedError) Unwrap() error { return e.err }

// New makes an error of a kind.
func New(kind Kind, format string, args ...any) error {
	return &kindedError{kind, errors.Newf(format, args...)}
}

// Wrap gives an error a kind and puts a prefix and a colon before its text; nil stays nil.
func Wrap(kind Kind, err error, prefix string) error {
	if err == nil {
		return nil
	}
	return &kindedError{kind, errors.Wrap(err, prefix)}
}

// With gives an error a kind and leaves its text as it is; nil stays nil.
func With(kind Kind, err error) error {
	if err == nil {
		return nil
	}
	return &kindedError{kind, err}
}

// KindOf is the outermost kind that an error was given: None for nil, Internal for an error without one.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var kinded *kindedError
	if errors.As(err, &kinded) {
		return kinded.kind
	}
	return Internal
}

// Status is the HTTP status that belongs to a kind.
func (k Kind) Status() int {
	if answer, ok := answers[k]; ok {
		return answer.status
	}
	return http.StatusInternalServerError
}

// Text is the short text that belongs to a kind.
func (k Kind) Text() string {
	if answer, ok := answers[k]; ok {
		return answer.text
	}
	return "unknown"
}
