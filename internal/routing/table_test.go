package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/config"
)

func compile(t *testing.T, routes string) *Table {
	t.Helper()
	document, err := config.Empty().Put([]byte(`{"revision":1,"route_table":[` + routes + `],"backend_pools":[{"name":"s"},{"name":"u"}]}`))
	require.NoError(t, err)
	return Compile(document)
}

func TestMatch_HostsAndTargets_LongestPrefixOfTheHost(t *testing.T) {
	table := compile(t, `{"name":"a","hostname":"h.x","path_prefix":"/a/","timeout_ms":1,"backend_pool":"s"},{"name":"ab","hostname":"h.x","path_prefix":"/a/b/","timeout_ms":1,"backend_pool":"s"},{"name":"o","hostname":"o.x","path_prefix":"/","timeout_ms":1,"backend_pool":"s"}`)
	for _, test := range []struct{ name, host, target, want string }{
		{"prefix", "h.x", "/a/q", "a"},
		{"longer prefix", "h.x", "/a/b/q", "ab"},
		{"capitals and port", "H.X:80", "/a/b/", "ab"},
		{"longer prefix without its slash", "h.x", "/a/b", "a"},
		{"prefix without its slash", "h.x", "/a", ""},
		{"no prefix", "h.x", "/c/", ""},
		{"prefix in the query only", "o.x", "/anything?x=/a/", "o"},
		{"no host", "none", "/a/", ""},
		{"raw target", "h.x", "/a/%2e%2e/", "a"},
		{"query at the root", "h.x", "/?/a/", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if route := table.Match(test.host, test.target); route != nil {
				got = route.Name
			}
			require.Equal(t, test.want, got, test.host+test.target)
		})
	}
}

func TestChooseService_ManyKeys_WeightsFollowedAndKeysKept(t *testing.T) {
	route := compile(t, `{"name":"a","hostname":"h","path_prefix":"/","timeout_ms":1,"weighted_backends":[{"backend_pool":"s","weight":90},{"backend_pool":"u","weight":10}]}`).Match("h", "/")
	counts := map[string]int{}
	for i := range 10000 {
		key := fmt.Sprint("key", i)
		chosen := route.ChooseService(key)
		counts[chosen]++
		require.Equal(t, chosen, route.ChooseService(key))
	}
	require.InDelta(t, 1000, counts["u"], 150)
}

func TestCompile_StreamingRoute_StepsInOrder(t *testing.T) {
	route := compile(t, `{"name":"a","hostname":"h","path_prefix":"/","route_type":"streaming","stream_resume":true,"allowed_regions":["r"],"timeout_ms":1,"backend_pool":"s"}`).Match("h", "/")
	require.Equal(t, []Step{ReadBody, SetDeadline, ChooseService, RestrictRegions, RelayEvents}, route.Steps)
	require.True(t, route.IsRetriable())
	require.Equal(t, 1, route.MaxAttempts)
}
