package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

const yardHost = "yard.example"

// operator is the stand-in for the operator.
type operator struct {
	at       []string
	c        *http.Client
	revision int64
}

func newOperator(at []string) *operator {
	return &operator{at: at, c: &http.Client{Timeout: constants.YardDial, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// order sends one change on top of the newest one, until it is taken; it gives the time that the call which was answered took.
func (o *operator) order(sc *task.Scope, method string, body map[string]any, within clock.Span) (clock.Span, error) {
	next := o.revision + 1
	body["revision"] = next
	b, err := json.Marshal(body)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "order")
	}
	last := "no answer"
	for i, end := 0, clock.Now().Add(within); clock.Now().Before(end); i++ {
		q, err := http.NewRequestWithContext(sc.Context(), method, "http://"+o.at[i%len(o.at)]+"/v1/config", bytes.NewReader(b))
		if err != nil {
			return 0, errkind.Wrap(errkind.Internal, err, "order")
		}
		q.Header.Set("If-Match", strconv.FormatInt(o.revision, 10))
		q.Header.Set("Content-Type", "application/json")
		at := clock.Now()
		a, err := o.c.Do(q)
		if err == nil {
			text, _ := io.ReadAll(a.Body)
			_ = a.Body.Close()
			if a.StatusCode/100 == 2 {
				o.revision = next
				return clock.Since(at), nil
			}
			last = a.Status + " " + string(text)
			if a.StatusCode/100 == 4 {
				break
			}
		}
		if !clock.Rest(sc, constants.YardLook) {
			return 0, errInterrupted
		}
	}
	return 0, errkind.New(errkind.Unready, "the configuration was not taken: %s", last)
}

// setup is the configuration that serves an experiment's kinds of request.
func (x *Experiment) setup() map[string]any {
	routes, pools := []any{}, []any{}
	for _, k := range x.Kinds {
		routes = append(routes, map[string]any{"name": "r-" + k.Name, "hostname": yardHost, "path_prefix": "/" + k.Name + "/", "route_type": k.Type, "timeout_ms": k.TimeoutMs,
			"target_latency_ms": k.AimMs, "priority": 1, "backend_pool": k.Service, "max_attempts": k.Attempts, "session_affinity": k.Prefixes > 0, "stream_resume": k.Resume, "target_gap_ms": k.GapMs})
	}
	for _, s := range x.Services {
		p := map[string]any{"name": s.Name, "health_check_path": healthPath, "max_connections": s.Channels, "protocol": "h1", "tls": false, "warmup_s": s.WarmupS, "warmup_per_s": s.WarmupPerS}
		if e := s.Engine; e != nil {
			p["engine"] = map[string]any{"slots": s.Slots, "kv_capacity_tokens": e.Memory, "kv_token_bytes": 18432, "link_mbps": 1000.0, "stride": 1, "models": []any{map[string]any{"name": e.Model}}}
		}
		pools = append(pools, p)
	}
	return map[string]any{"route_table": routes, "backend_pools": pools, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// change is a small change: a spare route whose time-out differs each time.
func (x *Experiment) change(n int) map[string]any {
	return map[string]any{"upsert": map[string]any{"route_table": []any{map[string]any{"name": "r-spare", "hostname": yardHost, "path_prefix": "/spare/", "route_type": "idempotent",
		"timeout_ms": 1000 + n, "target_latency_ms": 500, "priority": 3, "backend_pool": x.Services[0].Name, "max_attempts": 1}}}}
}
