package simulation

import (
	"testing"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// mutationSeeds is within how many schedules a mutation has to be found.
const mutationSeeds = 400

// TestSearchFindsMutations shows that the monitors bite: each fault built into the core is found.
func TestSearchFindsMutations(t *testing.T) {
	for m := mutation.SkipSync; m <= mutation.AcceptOtherDiskMessage; m++ {
		t.Run(m.String(), func(t *testing.T) {
			for seed := uint64(1); seed <= mutationSeeds; seed++ {
				s := schedule{Seed: seed, Profile: beyond, Mutation: m}
				if found := s.run(false); found.violation != "" {
					t.Logf("found by schedule %d: %s", seed, found.violation)
					return
				}
			}
			t.Errorf("%v is not found by %d schedules", m, mutationSeeds)
		})
	}
}
