package countertest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHistory_Limits_AreWhatMayBeReadThen(t *testing.T) {
	h := NewHistory(Bounds{Merge: 3 * time.Second, Detection: time.Second})
	acknowledged, unclear, rejected := h.Begin("t", "a", 1), h.Begin("t", "b", 2), h.Begin("t", "c", 4)
	h.Call(acknowledged)
	h.Call(unclear)
	h.Call(rejected)()
	h.Acknowledge(acknowledged, Acknowledgement{At: time.Second, Member: "m", Incarnation: 1})
	h.FaultUntil(5 * time.Second)
	limits := func(now time.Duration, member string, incarnation int) [2]uint64 {
		least, most := h.Limits(now, "t", member, incarnation)
		return [2]uint64{least, most}
	}
	require.Equal(t, [2]uint64{1, 3}, limits(2*time.Second, "m", 1), "what it acknowledged itself")
	require.Equal(t, [2]uint64{0, 3}, limits(2*time.Second, "m", 2), "in an earlier incarnation")
	require.Equal(t, [2]uint64{0, 3}, limits(7*time.Second, "n", 1), "the merge has time after the fault")
	require.Equal(t, [2]uint64{1, 3}, limits(8*time.Second, "n", 1))
	require.Equal(t, 1, h.Acknowledged())
}

func TestHistory_RejectedRepeat_LeavesAnAcknowledgedIDCounting(t *testing.T) {
	h := NewHistory(Bounds{})
	addition := h.Begin("t", "a", 1)
	rejected := h.Call(addition)
	h.Acknowledge(addition, Acknowledgement{})
	rejected()
	_, most := h.MergedLimits("t")
	require.Equal(t, uint64(1), most)
}

func TestHistory_LostDisk_ExcusesOnlyWhatItsMemberAcknowledgedDuringThePartition(t *testing.T) {
	for _, x := range []struct {
		name        string
		ackAt       time.Duration
		member      string
		lostAt      time.Duration
		wantExcused bool
	}{
		{"during it, lost before the merge", 12 * time.Second, "m", 21 * time.Second, true},
		{"just after it", 20500 * time.Millisecond, "m", 21 * time.Second, true},
		{"before it", 9 * time.Second, "m", 21 * time.Second, false},
		{"well after it", 22 * time.Second, "m", 22500 * time.Millisecond, false},
		{"lost after the merge", 12 * time.Second, "m", 24 * time.Second, false},
		{"lost before", 12 * time.Second, "m", 11 * time.Second, false},
		{"another member's disk", 12 * time.Second, "n", 21 * time.Second, false},
	} {
		h := NewHistory(Bounds{Merge: 3 * time.Second, Detection: time.Second})
		addition := h.Begin("t", "a", 1)
		h.Call(addition)
		h.Acknowledge(addition, Acknowledgement{At: x.ackAt, Member: x.member})
		h.Partition(10*time.Second, 20*time.Second)
		h.LoseDisk(x.lostAt, "m")
		least, _ := h.MergedLimits("t")
		require.Equal(t, x.wantExcused, least == 0, x.name)
	}
}
