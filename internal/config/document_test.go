package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// complete is a configuration with each kind of item, unknown keys among them.
const complete = `{"revision":5,"x":{"a":1.50},"route_table":[{"name":"a","hostname":"h","path_prefix":"/a/","timeout_ms":100,"backend_pool":"s","odd":[1,{"k":null}]},{"name":"b","hostname":"h","path_prefix":"/b/","timeout_ms":100.5,"weighted_backends":[{"backend_pool":"s","weight":1}]}],"backend_pools":[{"name":"s","max_connections":9,"engine":{"kv_capacity_tokens":5,"models":[{"name":"m"}]}}],"limits":{"max_body_bytes":10}}`

// newDocument makes the document of complete.
func newDocument(t *testing.T) *Document {
	t.Helper()
	document, err := Empty().Put([]byte(complete))
	require.NoError(t, err)
	return document
}

func TestDocument_JSON_IsWhatWasSent(t *testing.T) {
	document := newDocument(t)
	require.JSONEq(t, complete, string(document.JSON()))
	again, err := Empty().Put(document.JSON())
	require.NoError(t, err)
	require.Equal(t, document.JSON(), again.JSON())
}

func TestDocument_Patch_MergesByName(t *testing.T) {
	document := newDocument(t)
	patched, err := document.Patch([]byte(`{"revision":8,"upsert":{"route_table":[{"name":"c","hostname":"h","path_prefix":"/c/","timeout_ms":1,"backend_pool":"s"},{"name":"a","hostname":"h","path_prefix":"/z/","timeout_ms":1,"backend_pool":"s"}]},"remove":{"route_table":["b","never"]}}`))
	require.NoError(t, err)
	require.Equal(t, int64(8), patched.Revision)
	require.Len(t, patched.Parsed.RouteTable, 2)
	require.Equal(t, "/z/", patched.Parsed.RouteTable[0].PathPrefix)
	require.Equal(t, "c", patched.Parsed.RouteTable[1].Name)
	require.JSONEq(t, complete, string(document.JSON()), "what it builds on is unchanged")
	var values map[string]any
	require.NoError(t, json.Unmarshal(patched.JSON(), &values))
	require.Equal(t, map[string]any{"a": 1.5}, values["x"])
}

func TestDocument_InvalidPut_IsRejected(t *testing.T) {
	document := newDocument(t)
	valid := strings.Replace(complete, `"revision":5`, `"revision":6`, 1)
	for _, x := range []struct{ name, old, new, want string }{
		{"revision not above", `"revision":6`, `"revision":5`, "revision 5 is not above 5"},
		{"revision is text", `"revision":6`, `"revision":"six"`, "revision is missing or no whole number"},
		{"revision missing", `"revision":6,`, ``, "revision is missing or no whole number"},
		{"revision not whole", `"revision":6`, `"revision":6.5`, "revision is missing or no whole number"},
		{"unknown service", `"backend_pool":"s","odd"`, `"backend_pool":"t","odd"`, `route "a": unknown service "t"`},
		{"place taken", `"path_prefix":"/b/"`, `"path_prefix":"/a/"`, `routes "a" and "b" have the same place`},
		{"weights of 0", `"weight":1`, `"weight":0`, `route "b": weights sum to 0`},
		{"weight below 0", `"weight":1`, `"weight":-1`, `route "b": weight below 0`},
		{"time-out of 0", `"timeout_ms":100.5`, `"timeout_ms":0`, `route "b": timeout_ms is 0`},
		{"time-out missing", `"timeout_ms":100.5,`, ``, `route "b": timeout_ms is 0`},
		{"name taken", `"name":"b"`, `"name":"a"`, `"a" stands twice`},
		{"name missing", `"name":"b",`, ``, "an item has no name"},
		{"wrong type", `"hostname":"h"`, `"hostname":7`, "can't be read: "},
		{"cut short", `}}`, `}`, "can't be read whole: "},
		{"a list", `{"revision"`, `[{"revision"`, "can't be read whole: "},
		{"more behind", `"max_body_bytes":10}}`, `"max_body_bytes":10}} {}`, "more follows the object"},
		{"key twice", `"x":{"a":1.50}`, `"x":1,"x":2`, `can't be read whole: "x" stands twice`},
	} {
		t.Run(x.name, func(t *testing.T) {
			body := strings.Replace(valid, x.old, x.new, 1)
			require.NotEqual(t, valid, body)
			_, err := document.Put([]byte(body))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, invalid.Reason, x.want)
		})
	}
	require.JSONEq(t, complete, string(document.JSON()))
}

func TestDocument_InvalidPatch_IsRejected(t *testing.T) {
	document := newDocument(t)
	for _, x := range []struct{ name, body, want string }{
		{"service in use removed", `{"revision":6,"remove":{"backend_pools":["s"]}}`, "unknown service"},
		{"removed from no list", `{"revision":6,"remove":{"nothing":["s"]}}`, `remove: no list "nothing"`},
		{"no list of routes", `{"revision":6,"upsert":{"route_table":{}}}`, "not a list"},
		{"upsert is no object", `{"revision":6,"upsert":7}`, "upsert: not an object"},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := document.Patch([]byte(x.body))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, invalid.Reason, x.want)
		})
	}
	require.JSONEq(t, complete, string(document.JSON()))
}

func TestDigest_SameMeaning_IsEqual(t *testing.T) {
	digest := Digest("put", 3, []byte(`{"b":[1,2], "a":1.50}`))
	require.Equal(t, digest, Digest("put", 3, []byte(`{"a":1.50,"b":[1,2]}`)))
	for _, x := range []struct {
		name  string
		other []byte
	}{
		{"another base", Digest("put", 4, []byte(`{"a":1.50,"b":[1,2]}`))},
		{"another kind", Digest("patch", 3, []byte(`{"a":1.50,"b":[1,2]}`))},
		{"another value", Digest("put", 3, []byte(`{"a":1.50,"b":[2,1]}`))},
	} {
		require.NotEqual(t, digest, x.other, x.name)
	}
}

func TestDigest_MalformedBody_IsNotThatOfAValidOne(t *testing.T) {
	valid := Digest("put", 3, []byte(`{"revision":7,"a":1}`))
	for _, body := range []string{`{"revision":7,"a":1}x`, `{"revision":7,"a":1}{}`, `{"a":2,"revision":7,"a":1}`, `{"revision":7,"a":1`} {
		require.NotEqual(t, valid, Digest("put", 3, []byte(body)), body)
	}
}

func FuzzPut(f *testing.F) {
	f.Add([]byte(complete))
	f.Fuzz(func(t *testing.T, body []byte) {
		document, err := Empty().Put(body)
		if err != nil {
			return
		}
		again, err := Empty().Put(document.JSON())
		require.NoError(t, err, "what was accepted can be read again")
		require.Equal(t, document.Revision, again.Revision)
	})
}

func BenchmarkPatch(b *testing.B) {
	var routes []string
	for i := range 300 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","hostname":"h","path_prefix":"/%d/","timeout_ms":1,"backend_pool":"s"}`, i, i))
	}
	document, err := Empty().Put([]byte(`{"revision":1,"route_table":[` + strings.Join(routes, ",") + `],"backend_pools":[{"name":"s"}]}`))
	require.NoError(b, err)
	for b.Loop() {
		_, _ = document.Patch([]byte(`{"revision":2,"remove":{"route_table":["r7"]}}`))
	}
}
