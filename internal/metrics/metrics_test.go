package metrics

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServe_CountersAndGauges_TextFormat(t *testing.T) {
	recorder := httptest.NewRecorder()
	Serve(recorder, []Sample{
		{Name: "router_requests_total", Help: "Requests.", IsCounter: true, Value: 3},
		{Name: "router_left", Help: "Left.", Value: 1.5, Labels: Service("desk")},
		{Name: "router_left", Help: "Left.", Value: 2, Labels: Service("model")},
	})
	require.Equal(t, 200, recorder.Code)
	require.Contains(t, recorder.Header().Get("Content-Type"), "text/plain; version=0.0.4")
	require.Equal(t, `# HELP router_left Left.
# TYPE router_left gauge
router_left{service="desk"} 1.5
router_left{service="model"} 2
# HELP router_requests_total Requests.
# TYPE router_requests_total counter
router_requests_total 3
`, recorder.Body.String())
}

func TestServe_SamplesThatContradict_InternalError(t *testing.T) {
	recorder := httptest.NewRecorder()
	Serve(recorder, []Sample{{Name: "a", Help: "x", Value: 1}, {Name: "a", Help: "x", Value: 2}})
	require.Equal(t, 500, recorder.Code)
}
