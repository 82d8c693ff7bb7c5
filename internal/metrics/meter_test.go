package metrics

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFiguresAreWrittenInTheTextForm(t *testing.T) {
	w := httptest.NewRecorder()
	Serve(w, []Figure{
		{Name: "gatehouse_requests_total", Help: "Requests.", Count: true, Value: 3},
		{Name: "gatehouse_left", Help: "Left.", Value: 1.5, Label: "desk"},
		{Name: "gatehouse_left", Help: "Left.", Value: 2, Label: "model"},
	})
	require.Equal(t, 200, w.Code)
	require.Contains(t, w.Header().Get("Content-Type"), "text/plain; version=0.0.4")
	require.Equal(t, `# HELP gatehouse_left Left.
# TYPE gatehouse_left gauge
gatehouse_left{service="desk"} 1.5
gatehouse_left{service="model"} 2
# HELP gatehouse_requests_total Requests.
# TYPE gatehouse_requests_total counter
gatehouse_requests_total 3
`, w.Body.String())
}

func TestFiguresThatContradictEachOtherAreAFault(t *testing.T) {
	w := httptest.NewRecorder()
	Serve(w, []Figure{{Name: "a", Help: "x", Value: 1}, {Name: "a", Help: "x", Value: 2}})
	require.Equal(t, 500, w.Code)
}
