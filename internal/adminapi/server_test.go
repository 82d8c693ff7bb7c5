package adminapi

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// desk is a control state that notes what it is asked.
type desk struct {
	mu      sync.Mutex
	after   func() // called when an order has been asked
	primary string
	here    bool
	fail    error
	got     []state.Event
}

func (d *desk) set(primary string, here bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.primary, d.here = primary, here
}

func (d *desk) Primary() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.here
}

func (d *desk) Commit(_ context.Context, o *ChangeRequest) error {
	d.got = append(d.got, o.Event)
	if d.after != nil {
		d.after()
	}
	return d.fail
}
func (d *desk) Read(context.Context, time.Time) (*state.View, error) {
	return state.EmptyView(), d.fail
}

func ask(d *desk, method, target, match, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	New(context.Background(), slog.New(slog.DiscardHandler), d).ServeHTTP(w, r)
	return w
}

func TestCallsGoToTheirOrders(t *testing.T) {
	d := &desk{here: true}
	require.Equal(t, 200, ask(d, "PUT", "/v1/config", `"5"`, "{}").Code)
	require.Equal(t, 200, ask(d, "PATCH", "/v1/config", "7", "{}").Code)
	require.Equal(t, 200, ask(d, "POST", "/v1/evacuation/north%20hall", "", "").Code)
	require.Equal(t, 200, ask(d, "DELETE", "/v1/evacuation/north", "", "").Code)
	require.Equal(t, []state.Event{
		state.NewPutConfig(5, []byte("{}")),
		state.NewPatchConfig(7, []byte("{}")),
		state.EvacuateZone{Zone: "north hall"},
		state.ReadmitZone{Zone: "north"},
	}, d.got)
	for _, x := range [][2]string{{"POST", "/v1/config"}, {"GET", "/v1/evacuation/x"}, {"POST", "/v1/evacuation"}, {"POST", "/v1/evacuation/a/b"}, {"GET", "/"}, {"BREW", "/v1/config"}} {
		require.Equal(t, 404, ask(d, x[0], x[1], "", "").Code, x)
	}
	for _, m := range []string{"", "five", "-1", "1.5"} {
		require.Equal(t, 400, ask(d, "PUT", "/v1/config", m, "{}").Code, m)
	}
	require.Len(t, d.got, 4)
}

func TestOthersPointToThePrimary(t *testing.T) {
	w := ask(&desk{primary: "10.0.0.4:80"}, "GET", "/v1/config?x=1", "", "")
	require.Equal(t, http.StatusTemporaryRedirect, w.Code)
	require.Equal(t, "http://10.0.0.4:80/v1/config?x=1", w.Header().Get("Location"))
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, 503, ask(&desk{}, "GET", "/v1/config", "", "").Code)
	})
}

func TestFaultsHaveTheirAnswers(t *testing.T) {
	for k, want := range map[errkind.Kind]int{errkind.VersionConflict: 412, errkind.InvalidInput: 400, errkind.Unavailable: 503} {
		require.Equal(t, want, ask(&desk{here: true, fail: errkind.New(k, "x")}, "PUT", "/v1/config", "1", "{}").Code)
	}
	require.Equal(t, 404, ask(&desk{here: true}, "GET", "/v1/config", "", "").Code, "before the first configuration")
}

func TestAMemberThatIsNoLongerPrimaryPointsToTheNewOneOrSaysNothing(t *testing.T) {
	d := &desk{here: true, fail: errkind.New(errkind.NotPrimary, "deposed")}
	d.after = func() { d.here, d.primary = false, "10.0.0.5:80" }
	w := ask(d, "PUT", "/v1/config", "1", "{}")
	require.Equal(t, http.StatusTemporaryRedirect, w.Code)
	require.Equal(t, "http://10.0.0.5:80/v1/config", w.Header().Get("Location"))

	for _, after := range []func(*desk){
		func(d *desk) { d.here, d.primary = false, "" },
		func(d *desk) { d.primary = "10.0.0.4:80" }, // itself: nobody is to be sent round
	} {
		d := &desk{here: true, fail: errkind.New(errkind.NotPrimary, "deposed")}
		d.after = func() { after(d) }
		w := ask(d, "PUT", "/v1/config", "1", "{}")
		require.Equal(t, 503, w.Code, "a 307 must name somebody else")
		require.Empty(t, w.Header().Get("Location"))
	}
}

func TestACallWaitsForATakeoverThatMayBeUnderWayAndNotForOneThatIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{}
		handler := New(context.Background(), slog.New(slog.DiscardHandler), d)
		timed := func() (int, time.Duration) {
			start := time.Now()
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest("POST", "/v1/evacuation/a", nil))
			return w.Code, time.Since(start)
		}
		time.AfterFunc(300*time.Millisecond, func() { d.set("", true) })
		code, took := timed()
		require.Equal(t, 200, code)
		require.Less(t, took, 350*time.Millisecond)

		d.set("", false)
		for range 2 {
			code, took = timed()
			require.Equal(t, 503, code)
			require.Less(t, took, orderWait)
		}
		time.Sleep(takeoverWait)
		code, took = timed()
		require.Equal(t, 503, code)
		require.Zero(t, took, "nobody took over: another member may know more")

		d.set("10.0.0.4:80", false)
		code, took = timed()
		require.Equal(t, 307, code)
		require.Zero(t, took)
	})
}

func TestAnOrderIsOverWithItsTimeOrItsCaller(t *testing.T) {
	now := time.Now()
	gone := make(chan struct{})
	o := &ChangeRequest{Deadline: now, CallerGone: gone}
	require.False(t, o.Expired(now.Add(-1)))
	require.True(t, o.Expired(now))
	close(gone)
	require.True(t, o.Expired(now.Add(-1)))
}
