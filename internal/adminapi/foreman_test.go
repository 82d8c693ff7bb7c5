package adminapi

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// desk is a control state that notes what it is asked.
type desk struct {
	primary string
	here    bool
	fail    error
	got     []*Order
}

func (d *desk) Primary() (string, bool)               { return d.primary, d.here }
func (d *desk) Take(_ *task.Scope, o *Order) error    { d.got = append(d.got, o); return d.fail }
func (d *desk) Read(*task.Scope) (*state.View, error) { return state.EmptyView(), d.fail }

func call(d *desk, method, target, match, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	New(task.New(slog.New(slog.DiscardHandler)), d).ServeHTTP(w, r)
	return w
}

func TestCallsGoToTheirOrders(t *testing.T) {
	d := &desk{here: true}
	require.Equal(t, 200, call(d, "PUT", "/v1/config", `"5"`, "{}").Code)
	require.Equal(t, 200, call(d, "PATCH", "/v1/config", "7", "{}").Code)
	require.Equal(t, 200, call(d, "POST", "/v1/evacuation/north%20hall", "", "").Code)
	require.Equal(t, 200, call(d, "DELETE", "/v1/evacuation/north", "", "").Code)
	require.Equal(t, []*Order{{state.Put, 5, []byte("{}"), ""}, {state.Patch, 7, []byte("{}"), ""}, {state.Evacuate, 0, nil, "north hall"}, {state.Return, 0, nil, "north"}}, d.got)
	for _, x := range [][2]string{{"POST", "/v1/config"}, {"GET", "/v1/evacuation/x"}, {"POST", "/v1/evacuation"}, {"POST", "/v1/evacuation/a/b"}, {"GET", "/"}, {"BREW", "/v1/config"}} {
		require.Equal(t, 404, call(d, x[0], x[1], "", "").Code, x)
	}
	for _, m := range []string{"", "five", "-1", "1.5"} {
		require.Equal(t, 400, call(d, "PUT", "/v1/config", m, "{}").Code, m)
	}
	require.Len(t, d.got, 4)
}

func TestOthersPointToThePrimary(t *testing.T) {
	w := call(&desk{primary: "10.0.0.4:80"}, "GET", "/v1/config?x=1", "", "")
	require.Equal(t, http.StatusTemporaryRedirect, w.Code)
	require.Equal(t, "http://10.0.0.4:80/v1/config?x=1", w.Header().Get("Location"))
	require.Equal(t, 503, call(&desk{}, "GET", "/v1/config", "", "").Code)
}

func TestFaultsHaveTheirAnswers(t *testing.T) {
	for k, want := range map[errkind.Kind]int{errkind.Stale: 412, errkind.BadInput: 400, errkind.Unready: 503} {
		require.Equal(t, want, call(&desk{here: true, fail: errkind.New(k, "x")}, "PUT", "/v1/config", "1", "{}").Code)
	}
	require.Equal(t, 404, call(&desk{here: true}, "GET", "/v1/config", "", "").Code, "before the first configuration")
}
