package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/prefixindex"
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
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		per := 10e-6 * (0.7 + 0.6*random.Float64())
		if i%10 == 3 {
			per *= 1.6
		}
		placer.rates.compare(&placer.replicas[fmt.Sprintf("r%d", i%10)].speed, per)
	}
	for id, replica := range placer.replicas {
		if id == "r3" {
			require.InDelta(t, 1.4, replica.speed.relativePrefillTime(), 0.15)
		} else {
			require.InDelta(t, 1, replica.speed.relativePrefillTime(), 0.06)
		}
	}
	replica := &replicaState{speed: replicaSpeed{slowness: 50}}
	require.Equal(t, maxRelativeRate, replica.speed.relativePrefillTime())
	replica.speed.slowness = -1
	require.Equal(t, 1/maxRelativeRate, replica.speed.relativePrefillTime())
}
