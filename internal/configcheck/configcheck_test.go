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

const conf = `{"revision":9,"route_table":[{"name":"a","hostname":"h","path_prefix":"/a/","timeout_ms":9,"backend_pool":"s"},{"name":"b","hostname":"h","path_prefix":"/b/","timeout_ms":9,"backend_pool":"u"}],"backend_pools":[{"name":"s","max_connections":40},{"name":"u","max_connections":2}]}`

func view(t *testing.T) *state.View {
	t.Helper()
	v := state.EmptyView()
	var err error
	v.Config, err = v.Config.Put([]byte(strings.Replace(strings.Replace(conf, `"revision":9`, `"revision":5`, 1), `"backend_pool":"u"`, `"backend_pool":"s"`, 1)))
	require.NoError(t, err)
	v.FleetSize, v.ReplicasKnown = 4, true
	v.Replicas["1"] = &state.Replica{ID: "1", Pool: "s", State: "ready", Zone: "n", Slots: 8}
	v.Replicas["2"] = &state.Replica{ID: "2", Pool: "u", State: "ready", Zone: "z", Slots: 8}
	return v
}

func texts(r *Report) string {
	var b bytes.Buffer
	_ = r.Write(&b, false)
	return b.String()
}

func TestFindings(t *testing.T) {
	v := view(t)
	r := Check([]byte(conf), v, nil)
	require.True(t, r.HasProblems())
	require.Contains(t, texts(r), "route b: changes service from [s] to [u]")
	require.Contains(t, texts(r), "max_connections 2 is below the 4 nodes")
	v.Evacuated["z"] = true
	require.Contains(t, texts(Check([]byte(conf), v, nil)), "service u: has ready replicas in evacuated localities only")
	v.Replicas["2"].State = "draining"
	require.Contains(t, texts(Check([]byte(conf), v, nil)), "service u: has no ready replica")
	require.Contains(t, texts(Check([]byte(strings.Replace(conf, ":9,", ":5,", 1)), v, nil)), "revision 5 is not above 5")
	require.Contains(t, texts(Check([]byte(strings.Replace(conf, `"backend_pool":"u"`, `"backend_pool":"x"`, 1)), v, nil)), `unknown service "x"`)
	require.Contains(t, texts(Check([]byte(conf[:40]), nil, nil)), "can't be read whole")
}

func TestFineOnesHaveNotesAtMost(t *testing.T) {
	v := view(t)
	same := string(v.Config.JSON())
	r := Check([]byte(strings.Replace(same, `"revision":5`, `"revision":6`, 1)), v, []calendar.Window{{Zone: "n", Summary: "racks"}})
	require.False(t, r.HasProblems(), texts(r))
	require.Contains(t, texts(r), "maintenance")
	var b bytes.Buffer
	require.NoError(t, r.Write(&b, true))
	require.Contains(t, b.String(), `"checked_against_fleet": true`)
	require.False(t, Check([]byte(conf), nil, nil).HasProblems())
}

func TestFetchSaysWhatIsWrong(t *testing.T) {
	one := func(answer string) func(string, time.Duration) (net.Conn, error) {
		return func(string, time.Duration) (net.Conn, error) {
			a, b := net.Pipe()
			go func() {
				_, _ = b.Read(make([]byte, 4096))
				_, _ = b.Write([]byte(answer))
				_ = b.Close()
			}()
			return a, nil
		}
	}
	v := view(t)
	body := string(v.Encode())
	got, err := FetchView("x:1", time.Minute, one("HTTP/1.1 200 OK\r\n\r\n"+body))
	require.NoError(t, err)
	require.Equal(t, v.Config.Revision, got.Config.Revision)
	require.Len(t, got.Replicas, 2)
	_, err = FetchView("x:1", time.Minute, one("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
	require.ErrorContains(t, err, "answer 503")
	_, err = FetchView("x:1", time.Minute, one("HTTP/1.1 200 OK\r\n\r\nnonsense"))
	require.Error(t, err)
	_, err = FetchView("x:1", time.Minute, func(string, time.Duration) (net.Conn, error) { return nil, http.ErrServerClosed })
	require.ErrorContains(t, err, "could not be asked")
}
