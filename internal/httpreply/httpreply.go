// Package httpreply writes the project's own answers.
package httpreply

import (
	"encoding/json"
	"net/http"
	"strconv"

	"shaletrestle/internal/errkind"
)

// Writer is what an answer is written to.
type Writer = http.ResponseWriter

// Fault answers an error by its kind.
func Error(w Writer, err error) {
	k := errkind.KindOf(err)
	JSON(w, k.Status(), map[string]string{"error": err.Error()})
}

// Refuse answers with a promise that nothing was run and when to come back.
func Reject(w Writer, k errkind.Kind, after float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', -1, 64))
	JSON(w, k.Status(), map[string]string{"error": k.Text()})
}

// JSON answers with a value.
func JSON(w Writer, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	Bytes(w, status, b)
}

// Bytes answers with JSON bytes as they are.
func Bytes(w Writer, status int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
