package simulation

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// planSeeds: the mutants of package core are played with more of them.
var planSeeds = flag.Uint64("plan.seeds", 20, "schedules that each test of this file plays")

// playUntilViolation plays the seeds from 1 on; the first violation fails the test.
func playUntilViolation(t *testing.T, s schedule) {
	t.Helper()
	for seed := uint64(1); seed <= *planSeeds; seed++ {
		s.Seed = seed
		if result := s.run(false); result.violation != "" {
			require.Failf(t, "violation", "schedule %d: %s", seed, result.violation)
		}
	}
}

// TestMonitors_BeyondTolerance_SeeNoViolation is the run in which the monitors find planted faults.
func TestMonitors_BeyondTolerance_SeeNoViolation(t *testing.T) {
	playUntilViolation(t, schedule{Profile: beyond})
}

// TestHistories_PrimariesThawed_AreLinearizable has the monitors off: the clients' histories alone show a fault.
func TestHistories_PrimariesThawed_AreLinearizable(t *testing.T) {
	playUntilViolation(t, schedule{Profile: beyond, Blind: true, Plan: thawedPrimaries()})
}

// thawedPrimaries is a plan of primaries that stand still just long enough to be followed, so that they wake without a doubt.
func thawedPrimaries() plan {
	var made plan
	for i := range 6 {
		made = append(made, fault{At: time.Duration(5+3*i) * time.Second, Kind: freezeFault, For: time.Duration(1100+25*i) * time.Millisecond})
	}
	return made
}

// TestBallot_PrimaryKilledWhileOffering_IsNotReused kills a primary with a slow disk as it offers its state for the next view: when it comes back it may not use the same ballot again.
func TestBallot_PrimaryKilledWhileOffering_IsNotReused(t *testing.T) {
	playUntilViolation(t, schedule{Profile: beyond, Plan: plan{
		{At: 6 * time.Second, Kind: diskSlowFault, Slot: 0, For: 20 * time.Second},
		{At: 6100 * time.Millisecond, Kind: replaceFault, Slot: 1, For: 300 * time.Millisecond},
		{At: 6200 * time.Millisecond, Kind: killFault, For: 10 * time.Millisecond, When: offersMoment},
		{At: 7 * time.Second, Kind: killFault, For: 10 * time.Millisecond, When: offersMoment},
	}})
}

// TestVotes_MessagesRepeatedAtOnce_CountOnce repeats every message within some milliseconds, while primaries are killed and disks are slow: a witness whose reply comes twice has still one vote.
func TestVotes_MessagesRepeatedAtOnce_CountOnce(t *testing.T) {
	repeating := calm(7, 5, 2, 6*time.Second)
	repeating.RepeatRate = 1
	repeating.RepeatWait = 10 * time.Millisecond
	repeating.DiskSync = 40 * time.Millisecond
	var made plan
	for i := range 12 {
		made = append(made, fault{At: time.Duration(3000+1700*i) * time.Millisecond, Kind: killFault, For: 1300 * time.Millisecond})
	}
	playUntilViolation(t, schedule{Profile: beyond, Settings: repeating, Plan: made})
}
