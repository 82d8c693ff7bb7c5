package config

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"shaletrestle/internal/config/configpb"
)

// largeDocument has a number of routes of one service.
func largeDocument(t testing.TB, routes int) *Document {
	t.Helper()
	var list []string
	for i := range routes {
		list = append(list, routeJSON(i))
	}
	document, err := Empty().Put([]byte(`{"revision":1,"route_table":[` + strings.Join(list, ",") + `],"backend_pools":[{"name":"desk","health_check_path":"/health","max_connections":130,"protocol":"h1"}],"limits":{"max_header_bytes":16384}}`))
	require.NoError(t, err)
	return document
}

func routeJSON(i int) string {
	return fmt.Sprintf(`{"name":"route-%d","hostname":"host-%d.example","path_prefix":"/path-%d/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":1,"backend_pool":"desk","max_attempts":2}`, i, i, i)
}

// BenchmarkDocument_PatchOfOneRoute is what one entry of the log costs when it is applied.
func BenchmarkDocument_PatchOfOneRoute(b *testing.B) {
	for _, routes := range []int{500, 3500, 13300} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			document := largeDocument(b, routes)
			for b.Loop() {
				next, err := document.Patch([]byte(fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s]}}`, document.Revision+1, routeJSON(routes+int(document.Revision)%7))))
				require.NoError(b, err)
				document = next
			}
		})
	}
}

// TestDocument_ChangedStepByStep_ParsedAsTheWhole guards against a typed form that differs from what the document says.
func TestDocument_ChangedStepByStep_ParsedAsTheWhole(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	document := largeDocument(t, 20)
	for range 200 {
		next := document.Revision + 1 + random.Int64N(3)
		body := fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s],"limits":{"max_header_bytes":%d}},"remove":{"route_table":["route-%d"]}}`,
			next, routeJSON(random.IntN(40)), 1000+random.IntN(5), random.IntN(40))
		changed, err := document.Patch([]byte(body))
		require.NoError(t, err)
		document = changed
		whole := &configpb.Configuration{}
		require.NoError(t, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(document.JSON(), whole))
		require.True(t, proto.Equal(whole, document.Parsed))
	}
}

func TestDocument_SecondNameOfAListInJSON_Invalid(t *testing.T) {
	_, err := Empty().Put([]byte(`{"revision":1,"routeTable":[],"backend_pools":[]}`))
	require.ErrorContains(t, err, "can't be read")
}
