package adminapi

import (
	"bytes"
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

	"shaletrestle/coord/counter"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// fakeControl is a control state that records what it is asked.
type fakeControl struct {
	mu          sync.Mutex
	primary     string
	here        bool
	fail        error
	afterCommit func() // called when a change has been asked; may be nil
	got         []state.Event
}

func (f *fakeControl) set(primary string, here bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.primary, f.here = primary, here
}

func (f *fakeControl) Primary() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary, f.here
}

func (f *fakeControl) Commit(_ context.Context, request *ChangeRequest) error {
	f.got = append(f.got, request.Event)
	if f.afterCommit != nil {
		f.afterCommit()
	}
	return f.fail
}

func (f *fakeControl) Read(context.Context, time.Time) (*state.View, error) {
	return state.EmptyView(), f.fail
}

// ask makes one call; ifMatch may be empty.
func ask(control *fakeControl, method, target, ifMatch, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	New(context.Background(), slog.New(slog.DiscardHandler), control, &fakeTallies{}).ServeHTTP(recorder, request)
	return recorder
}

// fakeTallies are tallies that record what they are asked.
type fakeTallies struct {
	answer TallyAnswer
	fail   error
	added  []counter.Addition
}

func (f *fakeTallies) AddToTally(addition counter.Addition) (TallyAnswer, error) {
	f.added = append(f.added, addition)
	return f.answer, f.fail
}

func (f *fakeTallies) Tally(string) (TallyAnswer, error) { return f.answer, f.fail }

func TestServer_Calls_BecomeTheirEvents(t *testing.T) {
	control := &fakeControl{here: true}
	for _, x := range []struct {
		method, target, ifMatch string
		want                    state.Event
	}{
		{"PUT", "/v1/config", `"5"`, state.NewPutConfig(5, []byte("{}"))},
		{"PATCH", "/v1/config", "7", state.NewPatchConfig(7, []byte("{}"))},
		{"POST", "/v1/evacuation/north%20hall", "", state.EvacuateZone{Zone: "north hall"}},
		{"DELETE", "/v1/evacuation/north", "", state.ReadmitZone{Zone: "north"}},
	} {
		control.got = nil
		response := ask(control, x.method, x.target, x.ifMatch, "{}")
		require.Equal(t, 200, response.Code, x.target)
		require.JSONEq(t, `{"ok":true}`, response.Body.String(), x.target)
		require.Equal(t, []state.Event{x.want}, control.got, x.target)
	}
}

func TestServer_WrongCalls_AreRejectedBeforeTheControlState(t *testing.T) {
	control := &fakeControl{here: true}
	for _, x := range []struct {
		method, target, ifMatch string
		want                    int // HTTP status
	}{
		{"POST", "/v1/config", "", 404},
		{"GET", "/v1/evacuation/x", "", 404},
		{"POST", "/v1/evacuation", "", 404},
		{"POST", "/v1/evacuation/a/b", "", 404},
		{"GET", "/", "", 404},
		{"BREW", "/v1/config", "", 404},
		{"PUT", "/v1/config", "", 400},
		{"PUT", "/v1/config", "five", 400},
		{"PUT", "/v1/config", "-1", 400},
		{"PUT", "/v1/config", "1.5", 400},
	} {
		got := ask(control, x.method, x.target, x.ifMatch, "{}").Code
		require.Equal(t, x.want, got, "%s %s If-Match %q", x.method, x.target, x.ifMatch)
	}
	require.Empty(t, control.got)
}

func TestServer_NotPrimary_PointsToThePrimary(t *testing.T) {
	response := ask(&fakeControl{primary: "10.0.0.4:80"}, "GET", "/v1/config?x=1", "", "")
	require.Equal(t, http.StatusTemporaryRedirect, response.Code)
	require.Equal(t, "http://10.0.0.4:80/v1/config?x=1", response.Header().Get("Location"))
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, 503, ask(&fakeControl{}, "GET", "/v1/config", "", "").Code)
	})
}

func TestServer_Errors_HaveTheirStatus(t *testing.T) {
	for kind, want := range map[errkind.Kind]int{errkind.VersionConflict: 412, errkind.InvalidInput: 400, errkind.Unavailable: 503} {
		response := ask(&fakeControl{here: true, fail: errkind.New(kind, "x")}, "PUT", "/v1/config", "1", "{}")
		require.Equal(t, want, response.Code)
		require.JSONEq(t, `{"error":"x"}`, response.Body.String())
	}
	require.Equal(t, 404, ask(&fakeControl{here: true}, "GET", "/v1/config", "", "").Code, "before the first configuration")
}

func TestServer_FailedChange_LogSaysWhichAndWhetherItWasDecided(t *testing.T) {
	for _, x := range []struct {
		name           string
		method, target string
		fail           errkind.Kind
		want           string
	}{
		{
			"conflict", "PATCH", "/v1/config", errkind.VersionConflict,
			`level=INFO msg="config change rejected" part=adminapi kind=patch status=412 base=7 error=x`,
		},
		{
			"no decision", "PUT", "/v1/config", errkind.Unavailable,
			`level=INFO msg="config change not acknowledged" part=adminapi kind=put status=503 base=7 error=x`,
		},
		{
			"evacuation", "POST", "/v1/evacuation/north", errkind.Unavailable,
			`level=INFO msg="config change not acknowledged" part=adminapi kind=evacuate status=503 zone=north error=x`,
		},
		{
			"end of an evacuation", "DELETE", "/v1/evacuation/north", errkind.NotPrimary,
			`level=INFO msg="config change rejected" part=adminapi kind=return status=307 zone=north error=x`,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			var lines bytes.Buffer
			log := slog.New(slog.NewTextHandler(&lines, nil))
			control := &fakeControl{here: true, fail: errkind.New(x.fail, "x")}
			request := httptest.NewRequest(x.method, x.target, strings.NewReader("{}"))
			request.Header.Set("If-Match", "7")
			New(t.Context(), log, control, nil).ServeHTTP(httptest.NewRecorder(), request)
			_, got, _ := strings.Cut(strings.TrimSpace(lines.String()), " ") // without the time
			require.Equal(t, x.want, got)
		})
	}
}

func TestServer_DeposedDuringACall_PointsToTheNewPrimaryOrSaysNothing(t *testing.T) {
	for _, x := range []struct {
		name         string
		after        func(*fakeControl)
		wantStatus   int
		wantLocation string
	}{
		{"another is primary", func(f *fakeControl) { f.here, f.primary = false, "10.0.0.5:80" }, http.StatusTemporaryRedirect, "http://10.0.0.5:80/v1/config"},
		{"none is known", func(f *fakeControl) { f.here, f.primary = false, "" }, 503, ""},
		{"itself, as it says", func(f *fakeControl) { f.primary = "10.0.0.4:80" }, 503, ""}, // a 307 must name somebody else
	} {
		t.Run(x.name, func(t *testing.T) {
			control := &fakeControl{here: true, fail: errkind.New(errkind.NotPrimary, "deposed")}
			control.afterCommit = func() { x.after(control) }
			response := ask(control, "PUT", "/v1/config", "1", "{}")
			require.Equal(t, x.wantStatus, response.Code)
			require.Equal(t, x.wantLocation, response.Header().Get("Location"))
		})
	}
}

func TestServer_NoPrimary_WaitsForATakeoverOnlyWhileOneMayBeUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{}
		handler := New(context.Background(), slog.New(slog.DiscardHandler), control, nil)
		timed := func() (int, time.Duration) {
			start := time.Now()
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/evacuation/a", nil))
			return recorder.Code, time.Since(start)
		}
		time.AfterFunc(300*time.Millisecond, func() { control.set("", true) })
		status, took := timed()
		require.Equal(t, 200, status)
		require.Less(t, took, 350*time.Millisecond)

		control.set("", false)
		for range 2 {
			status, took = timed()
			require.Equal(t, 503, status)
			require.Less(t, took, callTimeout)
		}
		time.Sleep(takeoverTimeout)
		status, took = timed()
		require.Equal(t, 503, status)
		require.Zero(t, took, "nobody took over: another member may know more")

		control.set("10.0.0.4:80", false)
		status, took = timed()
		require.Equal(t, 307, status)
		require.Zero(t, took)
	})
}

func TestChangeRequest_Expired_WithItsDeadlineOrItsCaller(t *testing.T) {
	now := time.Now()
	gone := make(chan struct{})
	request := &ChangeRequest{Deadline: now, CallerGone: gone}
	require.False(t, request.Expired(now.Add(-1)))
	require.True(t, request.Expired(now))
	close(gone)
	require.True(t, request.Expired(now.Add(-1)))
}
