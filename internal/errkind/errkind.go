// Package errkind is the closed list of error kinds and the table from kind to answer.
package errkind

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kind is one of the closed list of error kinds.
type Kind int

// The kinds.
const (
	None             Kind = iota
	InvalidInput          // what was sent can't be read or is invalid
	NoRoute               // no path for this host and target
	BodyTooLarge          // body over the limit
	HeaderTooLarge        // head over the limit
	ClientTimeout         // client too slow
	VersionConflict       // another version is current
	NotPrimary            // another member answers this
	Unavailable           // nobody can answer this now; nothing was run
	Overloaded            // refused early; nothing was run
	UpstreamFailure       // a replica failed and may have run
	DeadlineExceeded      // the time ran out and a replica may have run
	Internal              // our own failure
	InvalidSettings       // settings are missing or wrong
)

type row struct {
	status int
	word   string
}

var table = map[Kind]row{
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

type kinded struct {
	kind Kind
	err  error
}

func (k *kinded) Error() string { return k.err.Error() }
func (k *kinded) Unwrap() error { return k.err }

// New makes an error of a kind.
func New(k Kind, format string, args ...any) error {
	return &kinded{k, errors.Newf(format, args...)}
}

// Wrap gives an error a kind and a note.
func Wrap(k Kind, err error, note string) error {
	if err == nil {
		return nil
	}
	return &kinded{k, errors.Wrap(err, note)}
}

// With gives an error a kind and leaves its text as it is.
func With(k Kind, err error) error {
	if err == nil {
		return nil
	}
	return &kinded{k, err}
}

// KindOf tells an error's kind; errors from elsewhere are Internal.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var k *kinded
	if errors.As(err, &k) {
		return k.kind
	}
	return Internal
}

// Status is the answer that belongs to a kind.
func (k Kind) Status() int {
	if r, ok := table[k]; ok {
		return r.status
	}
	return http.StatusInternalServerError
}

// Word is the short text that belongs to a kind.
func (k Kind) Text() string {
	if r, ok := table[k]; ok {
		return r.word
	}
	return "unknown"
}
