package simulation

import (
	"sync"
	"testing"
	"time"

	"shaletrestle/coord/replication/core/internal/mutation"
)

// mutationSeeds is within how many schedules a fault built into the core has to be found.
const mutationSeeds = 300

// found plays schedules until one shows a violation.
func found(t *testing.T, kind mutation.Kind, make func(kind mutation.Kind, seed uint64) schedule) bool {
	for seed := uint64(1); seed <= mutationSeeds; seed++ {
		if result := make(kind, seed).run(false); result.violation != "" {
			t.Logf("%v is found by schedule %d: %s", kind, seed, result.violation)
			return true
		}
	}
	return false
}

// findEach requires that each of some faults is found.
func findEach(t *testing.T, kinds []mutation.Kind, make func(kind mutation.Kind, seed uint64) schedule) {
	var group sync.WaitGroup
	limit := newLimit()
	for _, kind := range kinds {
		group.Go(func() {
			limit.enter()
			defer limit.leave()
			if !found(t, kind, make) {
				t.Errorf("%v is not found by %d schedules", kind, mutationSeeds)
			}
		})
	}
	group.Wait()
}

// TestMonitors_FaultPlanted_IsFound shows that the monitors bite: each fault built into the core is found.
func TestMonitors_FaultPlanted_IsFound(t *testing.T) {
	kinds := []mutation.Kind{
		mutation.SkipSync, mutation.AnswerBeforeBackups, mutation.SkipMajority, mutation.ForgetPromise, mutation.SkipConfirmOnRefusal,
		mutation.SkipConfirmOnRead, mutation.SkipSeal, mutation.SkipEarlierProposal, mutation.OverwriteSameTag,
	}
	findEach(t, kinds, func(kind mutation.Kind, seed uint64) schedule {
		return schedule{Seed: seed, Profile: beyond, Mutation: kind}
	})
}

// TestHistories_FaultPlanted_IsFound shows that the check of the clients' histories bites by itself, with the monitors off.
func TestHistories_FaultPlanted_IsFound(t *testing.T) {
	kinds := []mutation.Kind{mutation.SkipSync, mutation.SkipMajority, mutation.SkipConfirmOnRefusal, mutation.SkipConfirmOnRead}
	findEach(t, kinds, func(kind mutation.Kind, seed uint64) schedule {
		return schedule{Seed: seed, Profile: beyond, Mutation: kind, Blind: true, Plan: thawedPrimaries()}
	})
}

// thawedPrimaries is a plan of primaries that stand still just long enough to be followed, so that they wake without a doubt.
func thawedPrimaries() plan {
	var made plan
	for i := range 6 {
		made = append(made, fault{At: time.Duration(5+3*i) * time.Second, Kind: freezeFault, For: time.Duration(1100+25*i) * time.Millisecond})
	}
	return made
}

// TestMonitors_BallotNotSynced_IsFound finds SkipOwnPromise: a primary with a slow disk is killed as it offers its state for the next view, comes back, and uses the same ballot again.
func TestMonitors_BallotNotSynced_IsFound(t *testing.T) {
	made := plan{
		{At: 6 * time.Second, Kind: diskSlowFault, Slot: 0, For: 20 * time.Second},
		{At: 6100 * time.Millisecond, Kind: replaceFault, Slot: 1, For: 300 * time.Millisecond},
		{At: 6200 * time.Millisecond, Kind: killFault, For: 10 * time.Millisecond, When: offersMoment},
		{At: 7 * time.Second, Kind: killFault, For: 10 * time.Millisecond, When: offersMoment},
	}
	findEach(t, []mutation.Kind{mutation.SkipOwnPromise}, func(kind mutation.Kind, seed uint64) schedule {
		return schedule{Seed: seed, Profile: beyond, Mutation: kind, Plan: made}
	})
}
