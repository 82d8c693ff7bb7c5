// Package httpreply writes the project's own answers: JSON bodies, and errors with the status of their kind (package
// errkind). Failures to write are the client's and are not reported.
package httpreply

import (
	"encoding/json"
	"net/http"
	"strconv"

	"shaletrestle/internal/errkind"
)

// Error answers an error: the status of its kind, and its text under the key "error".
func Error(w http.ResponseWriter, err error) {
	JSON(w, errkind.KindOf(err).Status(), map[string]string{"error": err.Error()})
}

// Reject answers with the status and text of a kind that promises that nothing was run, and says with Retry-After, in
// seconds, when to come back.
func Reject(w http.ResponseWriter, kind errkind.Kind, retryAfterS float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterS, 'f', -1, 64))
	JSON(w, kind.Status(), map[string]string{"error": kind.Text()})
}

// JSON answers with a value; one that has no JSON form is a 500.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	Bytes(w, status, body)
}

// Bytes answers with a body that is JSON already.
func Bytes(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
