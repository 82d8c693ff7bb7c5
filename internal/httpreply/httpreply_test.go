package httpreply

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
)

func TestAnswers_StatusHeadersAndBody(t *testing.T) {
	for _, x := range []struct {
		name           string
		write          func(*httptest.ResponseRecorder)
		wantStatus     int
		wantRetryAfter string
		wantBody       string
	}{
		{"error of a kind", func(w *httptest.ResponseRecorder) { Error(w, errkind.New(errkind.NoRoute, "no such call")) }, 404, "", `{"error":"no such call"}`},
		{"error without a kind", func(w *httptest.ResponseRecorder) { Error(w, errors.New("x")) }, 500, "", `{"error":"x"}`},
		{"rejection", func(w *httptest.ResponseRecorder) { Reject(w, errkind.Overloaded, 0.25) }, 503, "0.25", `{"error":"crowded"}`},
		{"value", func(w *httptest.ResponseRecorder) { JSON(w, 200, map[string]bool{"ok": true}) }, 200, "", `{"ok":true}`},
		{"value without JSON", func(w *httptest.ResponseRecorder) { JSON(w, 200, func() {}) }, 500, "", `{"error":"internal"}`},
	} {
		t.Run(x.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			x.write(recorder)
			require.Equal(t, x.wantStatus, recorder.Code)
			require.Equal(t, x.wantBody, recorder.Body.String())
			require.Equal(t, "application/json", recorder.Header().Get("Content-Type"))
			require.Equal(t, x.wantRetryAfter, recorder.Header().Get("Retry-After"))
		})
	}
}
