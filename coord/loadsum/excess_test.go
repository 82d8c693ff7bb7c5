package loadsum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExcess_LoadBeyondTheUsualOfItsService_Remains(t *testing.T) {
	s := &Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"a": 10, "b": 2}}
	var loads []Load
	for i := range uint32(10) {
		s.ByReplica[i] = "a"
		loads = append(loads, Load{i, 90000})
	}
	require.Empty(t, Excess(loads, s), "all equally busy")
	s.ByReplica[20], s.ByReplica[21] = "b", "b"
	require.Equal(t, []Load{{20, uint32(90000 - usualFactor*90000/2 - usualTokens)}}, Excess(append(loads, Load{20, 90000}), s), "by its own service, silent replicas counted in")
	require.Empty(t, Excess([]Load{{99, 1 << 31}}, s), "unknown replica")
	require.Empty(t, Excess([]Load{{20, usualTokens}}, s))
}

func TestExcess_TooManyLoads_HeaviestRemain(t *testing.T) {
	s := &Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"a": 10000}}
	var loads []Load
	for i := range uint32(3 * maxExcessLoads) {
		s.ByReplica[i] = "a"
		loads = append(loads, Load{i, 50000 + 1000*i})
	}
	out := Excess(loads, s)
	require.Len(t, out, maxExcessLoads)
	require.Equal(t, uint32(3*maxExcessLoads-1), out[0].Key)
}
