package placement

import (
	"fmt"
	"math/rand/v2"
	"shaletrestle/internal/prefixindex"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLearn_ObservationBelowOrAbove_QuickDownSlowUp(t *testing.T) {
	r := 100.0
	for range 20 {
		learn(&r, 10)
	}
	require.Less(t, r, 12.0)
	for range 5 {
		learn(&r, 100)
	}
	require.Less(t, r, 25.0)
}

func TestRelativePrefillTime_OneSlowReplica_StandsOutFromMean(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(10), nil, 0)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		per := 10e-6 * (0.7 + 0.6*r.Float64())
		if i%10 == 3 {
			per *= 1.6
		}
		placer.rates.compare(&placer.replicas[fmt.Sprintf("r%d", i%10)].speed, per)
	}
	for id, b := range placer.replicas {
		if id == "r3" {
			require.InDelta(t, 1.4, b.speed.relativePrefillTime(), 0.15)
		} else {
			require.InDelta(t, 1, b.speed.relativePrefillTime(), 0.06)
		}
	}
	b := &replicaState{speed: replicaSpeed{slowness: 50}}
	require.Equal(t, maxRelativeRate, b.speed.relativePrefillTime())
	b.speed.slowness = -1
	require.Equal(t, 1/maxRelativeRate, b.speed.relativePrefillTime())
}
