package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/replication/core"
)

// The schedules of this file broke an earlier state of the core. Each is the plan of a failing seed, cut down to what it takes, with seeds under which it failed.

// calm is a cluster whose network and disks do nothing unusual.
func calm(members, zones, losses int, syncTime time.Duration) *settings {
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

// noisy is the same with lost and repeated messages, longer ways and a slower disk.
func noisy(members, zones, losses int, syncTime time.Duration) *settings {
	s := calm(members, zones, losses, syncTime)
	s.LossRate = 0.01
	s.RepeatRate = 0.03
	s.FarDelay = 24 * time.Millisecond
	s.DiskSync = 8 * time.Millisecond
	return s
}

// holds plays a schedule under some seeds.
func holds(t *testing.T, s schedule, seeds ...uint64) {
	t.Helper()
	for _, seed := range seeds {
		s.Seed = seed
		found := s.run(false)
		if found.violation != "" {
			require.Fail(t, s.report(found))
		}
	}
}

// TestTakeOver_ReplicaDead_IsNotWaitedFor: a primary that died, and of which a late message came, was offered the state by its follower, and waited for as if it were saving it.
func TestTakeOver_ReplicaDead_IsNotWaitedFor(t *testing.T) {
	made := plan{{At: 8 * time.Second, Kind: killFault, Slot: 0, For: 15 * time.Second}}
	late := calm(6, 3, 2, 6*time.Second)
	late.LateRate = 0.3
	holds(t, schedule{Profile: tolerated, Settings: late, Plan: made}, 18, 32, 46, 56)
	late = calm(5, 5, 1, 4*time.Second)
	late.LateRate = 0.3
	holds(t, schedule{Profile: tolerated, Settings: late, Plan: made}, 2, 25, 28, 37, 38, 47)
}

// TestPrimary_ReceivesNothing_IsReplaced: a primary that is heard and hears nobody kept the others from following it: its questions and its seeming presence stood in their way.
func TestPrimary_ReceivesNothing_IsReplaced(t *testing.T) {
	holds(t, schedule{Profile: tolerated, Settings: noisy(7, 5, 2, 6*time.Second), Plan: plan{
		{At: 9 * time.Second, Kind: deafFault, Slot: 0, For: 15 * time.Second, Amount: 1},
	}}, 1, 2, 3, 6, 7, 9, 10, 12)
}

// TestTakeOver_EarlierProposal_FinishedWithoutBackoff: who finished the proposal of a primary that died paused before it made a view of its own.
func TestTakeOver_EarlierProposal_FinishedWithoutBackoff(t *testing.T) {
	holds(t, schedule{Profile: tolerated, Settings: noisy(5, 5, 1, 4*time.Second), Plan: plan{
		{At: 9 * time.Second, Kind: killFault, Slot: 0, For: 20 * time.Millisecond},
		{At: 9010 * time.Millisecond, Kind: killFault, Slot: 0, For: 15 * time.Second, When: proposesMoment},
	}}, 193)
}

// TestLeave_NewMember_NeedsPrimarysAgreement: a member that knew no view said that it had left, while a view that named it was being made.
func TestLeave_NewMember_NeedsPrimarysAgreement(t *testing.T) {
	holds(t, schedule{Profile: beyond, Settings: calm(5, 3, 1, 4*time.Second), Plan: plan{
		{At: 948 * time.Millisecond, Kind: powerFault, Slot: 57, For: 3473 * time.Millisecond, Amount: 38256, When: appendsMoment},
		{At: 2273 * time.Millisecond, Kind: powerFault, Slot: 48, For: 1056 * time.Millisecond, Amount: 18804},
		{At: 2858 * time.Millisecond, Kind: planFault, Slot: 58, For: 1299 * time.Millisecond, Amount: 22},
	}}, 215, 251)
}

// TestBootstrap_SeedsChange_MakesOneFirstView: members that were killed before they knew the first view came back with other seeds and made another first view.
func TestBootstrap_SeedsChange_MakesOneFirstView(t *testing.T) {
	once := plan{{At: 300 * time.Millisecond, Kind: killAllFault}}
	holds(t, schedule{Profile: beyond, Settings: calm(5, 5, 1, 4*time.Second), Plan: once}, 29, 186, 191, 196, 239)
	var often plan
	for i := range 8 {
		often = append(often, fault{At: time.Duration(150+150*i) * time.Millisecond, Kind: killAllFault})
	}
	holds(t, schedule{Profile: beyond, Settings: calm(5, 5, 1, 4*time.Second), Plan: often}, 46, 102, 186, 264)
}
