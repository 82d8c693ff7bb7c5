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
	None      Kind = iota
	BadInput       // what was sent can't be read or is invalid
	NoPath         // no path for this host and target
	TooLarge       // body over the limit
	HeadLarge      // head over the limit
	Slow           // client too slow
	Stale          // another version is current
	NotHere        // another member answers this
	Unready        // nobody can answer this now; nothing was run
	Crowded        // refused early; nothing was run
	Broken         // a replica failed and may have run
	Late           // the time ran out and a replica may have run
	Internal       // our own failure
	BadEnv         // settings are missing or wrong
)

type row struct {
	status int
	word   string
}

var table = map[Kind]row{
	BadInput:  {http.StatusBadRequest, "bad input"},
	NoPath:    {http.StatusNotFound, "no such path"},
	TooLarge:  {http.StatusRequestEntityTooLarge, "body too large"},
	HeadLarge: {http.StatusRequestHeaderFieldsTooLarge, "head too large"},
	Slow:      {http.StatusRequestTimeout, "too slow"},
	Stale:     {http.StatusPreconditionFailed, "another version is current"},
	NotHere:   {http.StatusTemporaryRedirect, "ask the primary"},
	Unready:   {http.StatusServiceUnavailable, "not ready"},
	Crowded:   {http.StatusServiceUnavailable, "crowded"},
	Broken:    {http.StatusBadGateway, "replica failed"},
	Late:      {http.StatusGatewayTimeout, "time ran out"},
	Internal:  {http.StatusInternalServerError, "internal"},
	BadEnv:    {http.StatusInternalServerError, "bad settings"},
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
func (k Kind) Word() string {
	if r, ok := table[k]; ok {
		return r.word
	}
	return "unknown"
}
