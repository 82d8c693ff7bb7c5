package loadsum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWhatStandsOutIsBeyondTheUsualOfItsService(t *testing.T) {
	s := &Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"a": 10, "b": 2}}
	var ps []Load
	for i := range uint32(10) {
		s.ByReplica[i] = "a"
		ps = append(ps, Load{i, 90000})
	}
	require.Empty(t, Excess(ps, s), "all are busy alike")
	s.ByReplica[20], s.ByReplica[21] = "b", "b"
	require.Equal(t, []Load{{20, uint32(90000 - deckMean*90000/2 - deckLeast)}}, Excess(append(ps, Load{20, 90000}), s), "by its own service, silent replicas counted in")
	require.Empty(t, Excess([]Load{{99, 1 << 31}}, s), "nobody knows it")
	require.Empty(t, Excess([]Load{{20, deckLeast}}, s))
}

func TestOfManyThatStandOutTheHeaviestAreSpread(t *testing.T) {
	s := &Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"a": 10000}}
	var ps []Load
	for i := range uint32(3 * deckSpread) {
		s.ByReplica[i] = "a"
		ps = append(ps, Load{i, 50000 + 1000*i})
	}
	out := Excess(ps, s)
	require.Len(t, out, deckSpread)
	require.Equal(t, uint32(3*deckSpread-1), out[0].Key)
}
