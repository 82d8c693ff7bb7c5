package simulation

import (
	"reflect"
	"testing"
	"unsafe"

	"shaletrestle/coord/replication/core"
)

// mutation is a fault built into the core on purpose, in the order of the core's own constants.
type mutation uint8

const (
	noMutation mutation = iota
	skipSync
	answerBeforeBackups
	skipMajority
	forgetPromise
	skipConfirmOnRefusal
	skipConfirmOnRead
	skipSeal
	skipEarlierProposal
	overwriteSameTag
	skipOwnPromise
	acceptOtherDiskMessage
	mutationCount
)

var mutationNames = [mutationCount]string{
	"none", "skipSync", "answerBeforeBackups", "skipMajority", "forgetPromise", "skipConfirmOnRefusal", "skipConfirmOnRead",
	"skipSeal", "skipEarlierProposal", "overwriteSameTag", "skipOwnPromise", "acceptOtherDiskMessage",
}

func (m mutation) String() string { return mutationNames[m] }

// setMutation builds a mutation into a core.
func setMutation(c *core.Core, m mutation) {
	field := reflect.ValueOf(c).Elem().FieldByName("mutation")
	*(*uint8)(unsafe.Pointer(field.UnsafeAddr())) = uint8(m)
}

// mutationSeeds is within how many schedules a mutation has to be found.
const mutationSeeds = 400

// TestSearchFindsMutations shows that the monitors bite: each fault built into the core is found.
func TestSearchFindsMutations(t *testing.T) {
	for m := noMutation + 1; m < mutationCount; m++ {
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
