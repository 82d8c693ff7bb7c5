package simtest

import (
	"fmt"
	"strings"
)

// nestedLists is how many lists stand in each other in a configuration with the flaw "nested".
const nestedLists = 200_000

// configurationAt is the configuration of the scenarios at a revision; extra routes and flaws are asked for by name.
func configurationAt(rev int, extra, flaw string) string {
	pool, weight, timeout, second := "svc", "", "3000", ""
	switch flaw {
	case "unknown_service":
		pool = "nowhere"
	case "no_weight":
		weight = `,"weighted_backends":[{"backend_pool":"svc","weight":0}]`
	case "no_timeout":
		timeout = "0"
	case "same_place":
		second = `,{"name":"r-twin","hostname":"h.example","path_prefix":"/i/","route_type":"idempotent","timeout_ms":3000,"backend_pool":"svc"}`
	}
	route := func(name, prefix, kind, pool string, shots int, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":%q,"route_type":%q,"timeout_ms":%s,"target_latency_ms":400,"priority":1,"backend_pool":%q,"max_attempts":%d,"x_unknown":{"kept":[1,2.50]}%s}`,
			name, prefix, kind, timeout, pool, shots, more)
	}
	rs := []string{
		route("r-i", "/i/", "idempotent", pool, 2, weight),
		route("r-f", "/f/", "idempotent", "few", 2, ""),
		route("r-n", "/n/", "non_idempotent", "svc", 2, ""),
		route("r-s", "/s/", "streaming", "lm", 1, `,"session_affinity":true,"target_gap_ms":200`),
		route("r-t", "/t/", "streaming", "lm", 2, `,"session_affinity":true,"stream_resume":true,"target_gap_ms":200`),
	}
	switch alt, ok := map[string]int{"split": 30, "unsplit": 0}[extra]; {
	case ok: // two splits, one that holds to its affinity key, and a route that stays in region s
		parts := fmt.Sprintf(`,"weighted_backends":[{"backend_pool":"svc","weight":%d},{"backend_pool":"alt","weight":%d}]`, 100-alt, alt)
		rs = append(rs, route("r-w", "/w/", "idempotent", "svc", 2, parts), route("r-k", "/k/", "idempotent", "svc", 2, parts+`,"session_affinity":true`),
			route("r-h", "/h/", "idempotent", "svc", 2, `,"allowed_regions":["s"]`))
	case extra != "":
		rs = append(rs, route("r-"+extra, "/"+extra+"/", "idempotent", "svc", 2, ""))
	}
	b := fmt.Sprintf(`{"revision":%d,"route_table":[%s%s],"backend_pools":[{"name":"svc","health_check_path":"/health","max_connections":100},{"name":"few","health_check_path":"/health","max_connections":2},{"name":"alt","health_check_path":"/health","max_connections":100},{"name":"lm","health_check_path":"/health","max_connections":100,"warmup_s":3,"warmup_per_s":20,"engine":{"slots":8,"kv_capacity_tokens":100000,"kv_token_bytes":1000,"link_mbps":1000,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":1000,"idle_timeout_ms":5000}}`,
		rev, strings.Join(rs, ","), second)
	if idle, ok := strings.CutPrefix(extra, "idle"); ok { // another idle time-out in ms
		b = strings.Replace(b, `"idle_timeout_ms":5000`, `"idle_timeout_ms":`+idle, 1)
	}
	if timeout, ok := strings.CutPrefix(extra, "timeout"); ok { // another timeout of all routes in ms
		b = strings.ReplaceAll(b, `"timeout_ms":3000`, `"timeout_ms":`+timeout)
	}
	switch flaw {
	case "cut_short":
		return b[:len(b)-10]
	case "nested":
		return b[:len(b)-1] + `,"x":` + strings.Repeat("[", nestedLists) + strings.Repeat("]", nestedLists) + "}"
	}
	return b
}
