package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const whole = `{"revision":5,"x":{"a":1.50},"route_table":[{"name":"a","hostname":"h","path_prefix":"/a/","timeout_ms":100,"backend_pool":"s","odd":[1,{"k":null}]},{"name":"b","hostname":"h","path_prefix":"/b/","timeout_ms":100.5,"weighted_backends":[{"backend_pool":"s","weight":1}]}],"backend_pools":[{"name":"s","max_connections":9,"engine":{"kv_capacity_tokens":5,"models":[{"name":"m"}]}}],"limits":{"max_body_bytes":10}}`

func TestReadbackIsWhatWasSent(t *testing.T) {
	d, err := Empty().Put([]byte(whole))
	require.NoError(t, err)
	require.JSONEq(t, whole, string(d.JSON()))
	again, err := Empty().Put(d.JSON())
	require.NoError(t, err)
	require.Equal(t, d.JSON(), again.JSON())
}

func TestPatchMergesByName(t *testing.T) {
	d, err := Empty().Put([]byte(whole))
	require.NoError(t, err)
	n, err := d.Patch([]byte(`{"revision":8,"upsert":{"route_table":[{"name":"c","hostname":"h","path_prefix":"/c/","timeout_ms":1,"backend_pool":"s"},{"name":"a","hostname":"h","path_prefix":"/z/","timeout_ms":1,"backend_pool":"s"}]},"remove":{"route_table":["b","never"]}}`))
	require.NoError(t, err)
	require.Equal(t, int64(8), n.Revision)
	require.Len(t, n.Parsed.RouteTable, 2)
	require.Equal(t, "/z/", n.Parsed.RouteTable[0].PathPrefix)
	require.Equal(t, "c", n.Parsed.RouteTable[1].Name)
	require.JSONEq(t, whole, string(d.JSON()), "what it builds on is unchanged")
	var m map[string]any
	require.NoError(t, json.Unmarshal(n.JSON(), &m))
	require.Equal(t, map[string]any{"a": 1.5}, m["x"])
}

func TestInvalidOnesAreRefused(t *testing.T) {
	d, err := Empty().Put([]byte(whole))
	require.NoError(t, err)
	up := strings.Replace(whole, `"revision":5`, `"revision":6`, 1)
	for _, x := range []struct{ old, now string }{
		{`"revision":6`, `"revision":5`}, {`"revision":6`, `"revision":"six"`}, {`"revision":6,`, ``}, {`"revision":6`, `"revision":6.5`},
		{`"backend_pool":"s","odd"`, `"backend_pool":"t","odd"`}, {`"path_prefix":"/b/"`, `"path_prefix":"/a/"`}, {`"weight":1`, `"weight":0`}, {`"weight":1`, `"weight":-1`},
		{`"timeout_ms":100.5`, `"timeout_ms":0`}, {`"timeout_ms":100.5,`, ``}, {`"name":"b"`, `"name":"a"`}, {`"name":"b",`, ``}, {`"hostname":"h"`, `"hostname":7`},
		{`}}`, `}`}, {`{"revision"`, `[{"revision"`}, {`"max_body_bytes":10}}`, `"max_body_bytes":10}} {}`}, {`"x":{"a":1.50}`, `"x":1,"x":2`},
	} {
		b := strings.Replace(up, x.old, x.now, 1)
		require.NotEqual(t, up, b, x.old)
		_, err := d.Put([]byte(b))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, x.now)
	}
	for _, p := range []string{`{"revision":6,"remove":{"backend_pools":["s"]}}`, `{"revision":6,"remove":{"nothing":["s"]}}`, `{"revision":6,"upsert":{"route_table":{}}}`, `{"revision":6,"upsert":7}`} {
		_, err := d.Patch([]byte(p))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, p)
	}
	require.JSONEq(t, whole, string(d.JSON()))
}

func TestDigestGoesByMeaning(t *testing.T) {
	a := Digest("put", 3, []byte(`{"b":[1,2], "a":1.50}`))
	require.Equal(t, a, Digest("put", 3, []byte(`{"a":1.50,"b":[1,2]}`)))
	for _, x := range [][]byte{Digest("put", 4, []byte(`{"a":1.50,"b":[1,2]}`)), Digest("patch", 3, []byte(`{"a":1.50,"b":[1,2]}`)), Digest("put", 3, []byte(`{"a":1.50,"b":[2,1]}`))} {
		require.NotEqual(t, a, x)
	}
}

func TestDigestTakesNoMalformedOrderForAGoodOne(t *testing.T) {
	good := Digest("put", 3, []byte(`{"revision":7,"a":1}`))
	for _, body := range []string{`{"revision":7,"a":1}x`, `{"revision":7,"a":1}{}`, `{"a":2,"revision":7,"a":1}`, `{"revision":7,"a":1`} {
		require.NotEqual(t, good, Digest("put", 3, []byte(body)), body)
	}
}

func FuzzPut(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Empty().Put(b)
		if err != nil {
			return
		}
		n, err := Empty().Put(d.JSON())
		require.NoError(t, err, "what was taken can be read again")
		require.Equal(t, d.Revision, n.Revision)
	})
}

func BenchmarkPatch(b *testing.B) {
	var rs []string
	for i := range 300 {
		rs = append(rs, fmt.Sprintf(`{"name":"r%d","hostname":"h","path_prefix":"/%d/","timeout_ms":1,"backend_pool":"s"}`, i, i))
	}
	d, err := Empty().Put([]byte(`{"revision":1,"route_table":[` + strings.Join(rs, ",") + `],"backend_pools":[{"name":"s"}]}`))
	require.NoError(b, err)
	for b.Loop() {
		_, _ = d.Patch([]byte(`{"revision":2,"remove":{"route_table":["r7"]}}`))
	}
}
