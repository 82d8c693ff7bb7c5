package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// The schedules of this file broke an earlier state of the core. Each is the plan of the failing seed, cut down to what it takes.

const regressionSeeds = 12

// quiet is a cluster whose network and disks do nothing unusual.
func quiet(members, zones, losses int, syncTime time.Duration) *settings {
	return &settings{
		Members:    members,
		Zones:      zones,
		Losses:     losses,
		SyncTime:   syncTime,
		Limits:     core.DefaultLimits(),
		RepeatWait: lateWait,
		ZoneDelay:  2 * time.Millisecond,
		FarDelay:   15 * time.Millisecond,
		DiskSync:   5 * time.Millisecond,
		Clients:    3,
		Pause:      80 * time.Millisecond,
		Lazy:       true,
		Horizon:    25 * time.Second,
	}
}

// holds plays a plan under some seeds.
func holds(t *testing.T, p profile, s *settings, made plan) {
	t.Helper()
	for seed := range uint64(regressionSeeds) {
		played := schedule{Seed: 1 + seed, Profile: p, Settings: s, Plan: made}
		found := played.run(false)
		if found.violation != "" {
			require.Fail(t, played.report(found))
		}
	}
}

// TestDeadCopyIsNotWaitedFor: a copy that died with the primary was waited for as if it were saving the state, if it held the same position.
func TestDeadCopyIsNotWaitedFor(t *testing.T) {
	holds(t, tolerated, quiet(6, 3, 2, 6*time.Second), plan{
		{At: 9 * time.Second, Kind: zonePowerFault, Slot: 0, For: 1500 * time.Millisecond},
		{At: 16 * time.Second, Kind: killFault, Slot: 1, For: 15 * time.Second},
		{At: 16001 * time.Millisecond, Kind: killFault, Slot: 0, For: 15 * time.Second},
	})
}

// TestDeafPrimaryIsFollowed: a primary that is heard and hears nobody kept the others from electing one of them, as long as it was deaf.
func TestDeafPrimaryIsFollowed(t *testing.T) {
	deaf := plan{{At: 9 * time.Second, Kind: deafFault, Slot: 0, For: 15 * time.Second, Amount: 1}}
	holds(t, tolerated, quiet(6, 3, 2, 6*time.Second), deaf)
	holds(t, tolerated, quiet(5, 5, 1, 4*time.Second), deaf)
	holds(t, tolerated, quiet(6, 3, 2, 6*time.Second), plan{
		{At: 9 * time.Second, Kind: killFault, Slot: 0, For: 15 * time.Second},
		{At: 12 * time.Second, Kind: deafFault, Slot: 0, For: 12 * time.Second, Amount: 1},
	})
}

// TestLostWitnessIsSwappedInTimeAfterAPowerLoss: a witness that was only heard of counted as seen just now, so it was swapped too late.
func TestLostWitnessIsSwappedInTimeAfterAPowerLoss(t *testing.T) {
	holds(t, tolerated, quiet(7, 3, 1, 4*time.Second), plan{
		{At: 9 * time.Second, Kind: replaceFault, Slot: 1, For: 50 * time.Millisecond},
		{At: 9200 * time.Millisecond, Kind: powerAllFault, Amount: 1},
	})
}

// TestProposalIsFinishedWithoutAPause: who finished the proposal of a primary that died paused before it made a view of its own.
func TestProposalIsFinishedWithoutAPause(t *testing.T) {
	holds(t, tolerated, quiet(5, 5, 1, 4*time.Second), plan{
		{At: 9 * time.Second, Kind: killFault, Slot: 0, For: 20 * time.Millisecond},
		{At: 9010 * time.Millisecond, Kind: killFault, Slot: 0, For: 15 * time.Second, When: proposesMoment},
	})
}

// TestNewcomerLeavesOnlyWithThePrimarysWord: a member that knew no view said that it had left, while a view that named it was being made.
func TestNewcomerLeavesOnlyWithThePrimarysWord(t *testing.T) {
	made := plan{{At: 5 * time.Second, Kind: wipeFault, Slot: 1, For: 50 * time.Millisecond}}
	for i := range 8 {
		made = append(made, fault{At: time.Duration(5050+400*i) * time.Millisecond, Kind: restartFault, Slot: 1, When: installsMoment})
		made = append(made, fault{At: time.Duration(5060+400*i) * time.Millisecond, Kind: growFault, Slot: i})
		made = append(made, fault{At: time.Duration(5065+400*i) * time.Millisecond, Kind: restartFault, Slot: 5 + i})
	}
	holds(t, beyond, quiet(5, 5, 2, 6*time.Second), made)
}

// TestOneFirstViewWhenSeedsTurnOver: members that were killed before they knew the first view came back with other seeds and made another first view.
func TestOneFirstViewWhenSeedsTurnOver(t *testing.T) {
	var made plan
	for i := range 8 {
		made = append(made, fault{At: time.Duration(150+150*i) * time.Millisecond, Kind: killAllFault})
	}
	holds(t, beyond, quiet(5, 5, 1, 4*time.Second), made)
	holds(t, beyond, quiet(7, 5, 2, 6*time.Second), made)
}
