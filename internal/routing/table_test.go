package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/config"
)

func table(t *testing.T, routes string) *Table {
	t.Helper()
	d, err := config.Empty().Put([]byte(`{"revision":1,"route_table":[` + routes + `],"backend_pools":[{"name":"s"},{"name":"u"}]}`))
	require.NoError(t, err)
	return Compile(d)
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tb := table(t, `{"name":"a","hostname":"h.x","path_prefix":"/a/","timeout_ms":1,"backend_pool":"s"},{"name":"ab","hostname":"h.x","path_prefix":"/a/b/","timeout_ms":1,"backend_pool":"s"},{"name":"o","hostname":"o.x","path_prefix":"/","timeout_ms":1,"backend_pool":"s"}`)
	for _, x := range []struct{ host, target, want string }{
		{"h.x", "/a/q", "a"}, {"h.x", "/a/b/q", "ab"}, {"H.X:80", "/a/b/", "ab"}, {"h.x", "/a/b", "a"}, {"h.x", "/a", ""}, {"h.x", "/c/", ""},
		{"o.x", "/anything?x=/a/", "o"}, {"none", "/a/", ""}, {"h.x", "/a/%2e%2e/", "a"}, {"h.x", "/?/a/", ""},
	} {
		got := ""
		if p := tb.Match(x.host, x.target); p != nil {
			got = p.Name
		}
		require.Equal(t, x.want, got, x.host+x.target)
	}
}

func TestSplitsFollowTheWeightsAndKeepTheirKeys(t *testing.T) {
	p := table(t, `{"name":"a","hostname":"h","path_prefix":"/","timeout_ms":1,"weighted_backends":[{"backend_pool":"s","weight":90},{"backend_pool":"u","weight":10}]}`).Match("h", "/")
	n := map[string]int{}
	for i := range 10000 {
		k := fmt.Sprint("key", i)
		n[p.ChooseService(k)]++
		require.Equal(t, p.ChooseService(k), p.ChooseService(k))
	}
	require.InDelta(t, 1000, n["u"], 150)
}

func TestStepsOfAPath(t *testing.T) {
	p := table(t, `{"name":"a","hostname":"h","path_prefix":"/","route_type":"streaming","stream_resume":true,"allowed_regions":["r"],"timeout_ms":1,"backend_pool":"s"}`).Match("h", "/")
	require.Equal(t, []Step{ReadBody, SetDeadline, ChooseBackend, RestrictRegions, RelayEvents}, p.Steps)
	require.True(t, p.IsRetriable())
	require.Equal(t, 1, p.MaxAttempts)
}
