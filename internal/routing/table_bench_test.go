package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/config"
)

func benchmarkTable(b *testing.B) *Table {
	b.Helper()
	routes := []string{}
	for i := range 100 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","hostname":"h.x","path_prefix":"/p%04d/","timeout_ms":1,"weighted_backends":[{"backend_pool":"s","weight":90},{"backend_pool":"u","weight":10}]}`, i, i))
	}
	body := `{"revision":1,"route_table":[` + strings.Join(routes, ",") + `],"backend_pools":[{"name":"s"},{"name":"u"}]}`
	document, err := config.Empty().Put([]byte(body))
	require.NoError(b, err)
	return Compile(document)
}

func BenchmarkMatch(b *testing.B) {
	table := benchmarkTable(b)
	b.ReportAllocs()
	for b.Loop() {
		table.Match("h.x:80", "/p0050/q?x=1")
	}
}

func BenchmarkChooseService(b *testing.B) {
	route := benchmarkTable(b).Match("h.x", "/p0050/")
	b.ReportAllocs()
	for b.Loop() {
		route.ChooseService("session-17")
	}
}
