package configcheck

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/state"
)

const configuration = `{"revision":9,"route_table":[{"name":"a","hostname":"h","path_prefix":"/a/","timeout_ms":9,"backend_pool":"s"},{"name":"b","hostname":"h","path_prefix":"/b/","timeout_ms":9,"backend_pool":"u"}],"backend_pools":[{"name":"s","max_connections":40},{"name":"u","max_connections":2}]}`

// replaced is the configuration with one text in place of another, which must be in it.
func replaced(t *testing.T, was, is string) []byte {
	t.Helper()
	require.Contains(t, configuration, was)
	return []byte(strings.Replace(configuration, was, is, 1))
}

// newView is a fleet of four nodes at revision 5, in which all routes lead to service s, with a ready replica in each
// of two zones.
func newView(t *testing.T) *state.View {
	t.Helper()
	view := state.EmptyView()
	var err error
	earlier := strings.Replace(configuration, `"revision":9`, `"revision":5`, 1)
	view.Config, err = view.Config.Put([]byte(strings.Replace(earlier, `"backend_pool":"u"`, `"backend_pool":"s"`, 1)))
	require.NoError(t, err)
	view.FleetSize, view.ReplicasKnown = 4, true
	view.Replicas["1"] = &state.Replica{ID: "1", Pool: "s", State: "ready", Zone: "n", Slots: 8}
	view.Replicas["2"] = &state.Replica{ID: "2", Pool: "u", State: "ready", Zone: "z", Slots: 8}
	return view
}

// text is a report as people get it.
func text(t *testing.T, report *Report) string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, report.Write(&out, false))
	return out.String()
}

func TestCheck_Problems_AreFound(t *testing.T) {
	for _, x := range []struct {
		name   string
		body   []byte
		change func(*state.View) // may be nil
		want   []string
	}{
		{
			"service changed, bound too low", []byte(configuration), nil,
			[]string{"route b: changes service from [s] to [u]", "max_connections 2 is below the 4 nodes"},
		},
		{
			"ready in an evacuated zone only", []byte(configuration), func(v *state.View) { v.Evacuated["z"] = true },
			[]string{"service u: has ready replicas in evacuated localities only"},
		},
		{
			"none ready", []byte(configuration),
			func(v *state.View) { v.Evacuated["z"] = true; v.Replicas["2"].State = "draining" },
			[]string{"service u: has no ready replica"},
		},
		{"revision not above", replaced(t, ":9,", ":5,"), nil, []string{"revision 5 is not above 5"}},
		{"unknown service", replaced(t, `"backend_pool":"u"`, `"backend_pool":"x"`), nil, []string{`unknown service "x"`}},
	} {
		t.Run(x.name, func(t *testing.T) {
			view := newView(t)
			if x.change != nil {
				x.change(view)
			}
			report := Check(x.body, view, nil)
			require.True(t, report.HasProblems())
			for _, want := range x.want {
				require.Contains(t, text(t, report), want)
			}
		})
	}
}

func TestCheck_CutShort_IsAnErrorWithoutAFleet(t *testing.T) {
	report := Check([]byte(configuration[:40]), nil, nil)
	require.True(t, report.HasProblems())
	require.Contains(t, text(t, report), "can't be read whole")
}

func TestCheck_NoProblems_HasInformationAtMost(t *testing.T) {
	view := newView(t)
	same := strings.Replace(string(view.Config.JSON()), `"revision":5`, `"revision":6`, 1)
	report := Check([]byte(same), view, []calendar.Window{{Zone: "n", Summary: "racks"}})
	require.False(t, report.HasProblems(), text(t, report))
	require.Contains(t, text(t, report), "maintenance")
	var out bytes.Buffer
	require.NoError(t, report.Write(&out, true))
	require.Contains(t, out.String(), `"checked_against_fleet": true`)
	require.False(t, Check([]byte(configuration), nil, nil).HasProblems())
}

// answering gives a dial to a server that answers with these bytes.
func answering(answer string) func(string, time.Duration) (net.Conn, error) {
	return func(string, time.Duration) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 4096))
			_, _ = server.Write([]byte(answer))
			_ = server.Close()
		}()
		return client, nil
	}
}

func TestFetchView_Answer_IsTheView(t *testing.T) {
	view := newView(t)
	got, err := FetchView("x:1", time.Minute, answering("HTTP/1.1 200 OK\r\n\r\n"+string(view.Encode())))
	require.NoError(t, err)
	require.Equal(t, view.Config.Revision, got.Config.Revision)
	require.Len(t, got.Replicas, 2)
}

func TestFetchView_NoView_ErrorSaysWhatIsWrong(t *testing.T) {
	_, err := FetchView("x:1", time.Minute, answering("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
	require.ErrorIs(t, err, ErrFleetUnreachable)
	require.ErrorContains(t, err, "answer 503")
	_, err = FetchView("x:1", time.Minute, answering("HTTP/1.1 200 OK\r\n\r\nnonsense"))
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrFleetUnreachable)
	_, err = FetchView("x:1", time.Minute, func(string, time.Duration) (net.Conn, error) { return nil, http.ErrServerClosed })
	require.ErrorIs(t, err, ErrFleetUnreachable)
	require.ErrorIs(t, err, http.ErrServerClosed)
	require.ErrorContains(t, err, "the fleet's view cannot be fetched")
}
