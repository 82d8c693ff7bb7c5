package state

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The figures of docs/CAPACITY.md: go test ./internal/state -run Capacity -control-figures -v
var controlFigures = flag.Bool("control-figures", false, "measure the size of the control state")

// TestCapacity_Store_Print prints the size of the store's snapshot at the size to come.
func TestCapacity_Store_Print(t *testing.T) {
	if !*controlFigures {
		t.Skip("only with -control-figures")
	}
	for _, changes := range []int{1, 512, 1000} {
		store := NewStore(Options{History: true})
		require.NoError(t, store.Update(EncodeEvent(NewPutConfig(0, fullConfiguration(400, 250, 26)))))
		patch := 0
		for number := 2; number <= changes; number++ {
			body := fmt.Appendf(nil, `{"revision":%d,"upsert":{"route_table":[%s]}}`, number, routeText(number%400, 250, 26, 5000+number))
			event := EncodeEvent(NewPatchConfig(int64(number-1), body))
			require.NoError(t, store.Update(event))
			patch = len(event)
		}
		plain := len(store.Snapshot())
		list := UpdateReplicas{}
		for i := range 1500 {
			list.Changed = append(list.Changed, &Replica{
				ID: fmt.Sprintf("replica-%05d", i), Pool: fmt.Sprintf("model-%02d", i%26), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
				Zone: fmt.Sprintf("zone-%02d", i%15), SoftwareRevision: "r1", Slots: 8, State: "ready",
			})
		}
		require.NoError(t, store.Update(EncodeEvent(list)))
		fmt.Printf("%d changes: snapshot of 400 routes, 250 tenants, 26 models %d bytes; with 1,500 replicas %d; a change of one route %d\n",
			changes, plain, len(store.Snapshot()), patch)
	}
}

// fullConfiguration is one as an operator writes it, with routes for tenants on models.
func fullConfiguration(routes, tenants, models int) []byte {
	var table, pools []string
	for i := range routes {
		table = append(table, routeText(i, tenants, models, 10000))
	}
	for i := range models {
		pools = append(pools, fmt.Sprintf(`{"engine":{"kv_capacity_tokens":729140,"kv_token_bytes":18432,"link_mbps":370000,"models":[{"name":"model-%02d"}],"slots":8,"stride":6},"health_check_path":"/health","max_connections":600,"name":"model-%02d","protocol":"h1","tls":false,"warmup_per_s":20,"warmup_s":3}`, i, i))
	}
	return fmt.Appendf(nil, `{"backend_pools":[%s],"limits":{"header_timeout_ms":3000,"idle_timeout_ms":15000,"max_body_bytes":4194304,"max_header_bytes":16384},"revision":1,"route_table":[%s]}`,
		strings.Join(pools, ","), strings.Join(table, ","))
}

func routeText(i, tenants, models, timeout int) string {
	return fmt.Sprintf(`{"backend_pool":"model-%02d","hostname":"tenant-%03d.example","max_attempts":2,"name":"r-%05d","path_prefix":"/p%05d/","priority":%d,"route_type":"streaming","session_affinity":true,"stream_resume":true,"target_gap_ms":400,"target_latency_ms":800,"timeout_ms":%d}`,
		i%models, i%tenants, i, i, i%3, timeout)
}
