package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCanonicalHost(t *testing.T) {
	for host, want := range map[string]string{
		"desk.example":       "desk.example",
		"Desk.EXAMPLE":       "desk.example",
		"desk.example:8161":  "desk.example",
		"desk.example.":      "desk.example",
		"Desk.example.:8161": "desk.example",
		"[2001:DB8::1]":      "[2001:db8::1]",
		"[2001:db8::1]:8161": "[2001:db8::1]",
		"":                   "",
	} {
		require.Equal(t, want, CanonicalHost(host), host)
	}
}

// collidingConfiguration has two routes with one prefix, the second with a given host.
func collidingConfiguration(revision, host string) []byte {
	return []byte(`{"revision":` + revision + `,"route_table":[
		{"name":"a","hostname":"desk.example","path_prefix":"/x/","timeout_ms":1,"backend_pool":"p"},
		{"name":"b","hostname":"` + host + `","path_prefix":"/x/","timeout_ms":1,"backend_pool":"p"}],"backend_pools":[{"name":"p"}]}`)
}

// TestDocument_HostsOfOneCanonicalForm_AreTheSamePlace guards against two routes of which one gets the other's requests.
func TestDocument_HostsOfOneCanonicalForm_AreTheSamePlace(t *testing.T) {
	for _, host := range []string{"Desk.example", "desk.example.", "desk.example:8161"} {
		_, err := Empty().Put(collidingConfiguration("1", host))
		require.ErrorContains(t, err, "have the same place", host)
	}
	_, err := Empty().Put(collidingConfiguration("1", "bench.example"))
	require.NoError(t, err)
}

// TestStored_RoutesThatCollideNow_ServedAsBeforeAndChangedBesides guards against a stored configuration that is refused.
func TestStored_RoutesThatCollideNow_ServedAsBeforeAndChangedBesides(t *testing.T) {
	stored, err := Stored(collidingConfiguration("3", "DESK.example"))
	require.NoError(t, err)
	require.Equal(t, []Collision{{"a", "b"}}, stored.Collisions())

	other, err := stored.Patch([]byte(`{"revision":4,"upsert":{"route_table":[{"name":"c","hostname":"c","path_prefix":"/","timeout_ms":1,"backend_pool":"p"}]}}`))
	require.NoError(t, err, "a change of something else")
	_, err = other.Patch([]byte(`{"revision":5,"upsert":{"route_table":[{"name":"b","hostname":"DESK.example","path_prefix":"/x/","timeout_ms":2,"backend_pool":"p"}]}}`))
	require.ErrorContains(t, err, "have the same place", "a change of one of the two")
	mended, err := other.Patch([]byte(`{"revision":5,"remove":{"route_table":["b"]}}`))
	require.NoError(t, err)
	require.Empty(t, mended.Collisions())
}
