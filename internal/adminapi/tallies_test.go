package adminapi

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/counter"
	"shaletrestle/internal/errkind"
)

// askTallies makes one call on tallies.
func askTallies(tallies *fakeTallies, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler := New(context.Background(), slog.New(slog.DiscardHandler), &fakeControl{}, tallies)
	handler.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

func TestTallies_ProperCalls_AreAnsweredWithoutAPrimary(t *testing.T) {
	tallies := &fakeTallies{answer: TallyAnswer{Total: 1873}}
	response := askTallies(tallies, "POST", "/v1/tallies/t%203", `{"replica_id":"5c0e","actor":4,"other":[1]}`)
	require.Equal(t, 200, response.Code)
	require.Equal(t, []counter.Addition{{Counter: "t 3", ID: "5c0e", Amount: 4}}, tallies.added)
	response = askTallies(tallies, "GET", "/v1/tallies/t3", "")
	require.Equal(t, 200, response.Code)
	require.JSONEq(t, `{"total":1873}`, response.Body.String())
}

func TestTallies_BadInput_IsRejectedAndNothingIsAdded(t *testing.T) {
	long := strings.Repeat("x", counter.MaxNameBytes+1)
	for _, x := range []struct {
		method, target, body string
		want                 int
	}{
		{"POST", "/v1/tallies/t", "", 400},
		{"POST", "/v1/tallies/t", "no JSON", 400},
		{"POST", "/v1/tallies/t", "[]", 400},
		{"POST", "/v1/tallies/t", "null", 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a"}`, 400},
		{"POST", "/v1/tallies/t", `{"actor":4}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"","actor":4}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"` + long + `","actor":4}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":7,"actor":4}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":null,"actor":4}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":"4"}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":null}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":4.5}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":-1}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":4398046511105}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":99999999999999999999}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"a","actor":4} {}`, 400},
		{"POST", "/v1/tallies/t", `{"replica_id":"` + strings.Repeat("x", maxTallyBodyBytes) + `"}`, 413},
		{"POST", "/v1/tallies/" + long, `{"replica_id":"a","actor":4}`, 400},
		{"POST", "/v1/tallies/", `{"replica_id":"a","actor":4}`, 404},
		{"POST", "/v1/tallies/a/b", `{"replica_id":"a","actor":4}`, 404},
		{"GET", "/v1/tallies/" + long, "", 400},
		{"GET", "/v1/tallies", "", 404},
		{"PUT", "/v1/tallies/t", `{"replica_id":"a","actor":4}`, 404},
		{"DELETE", "/v1/tallies/t", "", 404},
	} {
		tallies := &fakeTallies{}
		response := askTallies(tallies, x.method, x.target, x.body)
		require.Equal(t, x.want, response.Code, "%s %s %s", x.method, x.target, x.body)
		require.Contains(t, response.Body.String(), "error")
		require.Empty(t, tallies.added, "%s %s %s", x.method, x.target, x.body)
	}
}

func TestTallies_Errors_SayWhatIsKnown(t *testing.T) {
	for kind, want := range map[errkind.Kind]int{errkind.Unavailable: 503, errkind.DeadlineExceeded: 504, errkind.InvalidInput: 400} {
		tallies := &fakeTallies{fail: errkind.New(kind, "x")}
		require.Equal(t, want, askTallies(tallies, "POST", "/v1/tallies/t", `{"replica_id":"a","actor":4}`).Code)
		require.Equal(t, want, askTallies(tallies, "GET", "/v1/tallies/t", "").Code)
	}
	response := askTallies(&fakeTallies{answer: TallyAnswer{Redirect: "10.0.0.4:80"}}, "GET", "/v1/tallies/t", "")
	require.Equal(t, 307, response.Code)
	require.Equal(t, "http://10.0.0.4:80/v1/tallies/t", response.Header().Get("Location"))
}

func TestTallies_DeploymentWithoutThem_HasNoSuchCalls(t *testing.T) {
	recorder := httptest.NewRecorder()
	handler := New(context.Background(), slog.New(slog.DiscardHandler), &fakeControl{}, nil)
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/tallies/t", nil))
	require.Equal(t, 404, recorder.Code)
}
