package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestResidentBytes(t *testing.T) {
	for _, test := range []struct {
		statm string
		want  float64
		ok    bool
	}{
		{"310 25 7 1 0 9 0\n", 25 * 4096, true},
		{"310", 0, false},
		{"", 0, false},
		{"310 many 7", 0, false},
	} {
		got, ok := residentBytes([]byte(test.statm), 4096)
		require.Equal(t, test.ok, ok, test.statm)
		require.Equal(t, test.want, got, test.statm)
	}
}

func TestProcess_LimitBesideResident(t *testing.T) {
	values := map[string]float64{}
	for _, sample := range Process("router", 244) {
		values[sample.Name] = sample.Value
	}
	require.Equal(t, 244.0*(1<<20), values["router_memory_limit_bytes"])
	require.Contains(t, values, "router_uptime_seconds")
	if resident, told := values["router_memory_resident_bytes"]; told {
		require.Greater(t, resident, 1e6)
	}
}
