package errkind

import (
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// OfBody is the kind of an error that reading a request's body gave: BodyTooLarge beyond the limit of an
// http.MaxBytesReader, ClientTimeout where the time for the body ran out, else InvalidInput. A body that came too slowly
// was not seen to be invalid, so that its caller may send it once more.
func OfBody(err error) Kind {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return None
	case errors.As(err, &tooLarge):
		return BodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ClientTimeout
	}
	return InvalidInput
}
