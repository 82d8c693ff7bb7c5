package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/rpc"
)

// members gives as many members, with addresses in their order.
func members(count int) []rpc.Member {
	var list []rpc.Member
	for i := range count {
		list = append(list, rpc.Member{Address: fmt.Sprintf("10.0.0.%02d:7722", i)})
	}
	return list
}

func TestFleet_Update_CountsThoseReachedOfLateInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newFleet()
	require.Equal(t, []string{"a", "b"}, f.update([]rpc.Member{{Address: "b"}, {Address: "a"}}, start))
	require.Equal(t, []string{"a", "b"}, f.update([]rpc.Member{{Address: "a"}}, start.Add(fleetTimeout)))
	require.Equal(t, []string{"a"}, f.update(nil, start.Add(fleetTimeout+1)), "b was not reached for too long")
	require.Empty(t, f.update(nil, start.Add(2*fleetTimeout+1)))
}

func TestFleetPublishInterval_LostNodeReported_PublishedInTime(t *testing.T) {
	const reported = 3500 * time.Millisecond // after the loss; asserted by a test of failuredetector.Watcher
	require.LessOrEqual(t, reported+fleetPublishInterval, 4*time.Second)
}

func TestFleet_RemoveSuspect_AtMostAPartOfTheLargestFleet(t *testing.T) {
	for _, x := range []struct{ size, want int }{
		{1, 0}, {3, 0}, {4, 1}, {7, 1}, {8, 2}, {40, 10},
	} {
		f := newFleet()
		all := members(x.size)
		f.update(all, time.Unix(1000, 0))
		removed := 0
		for _, member := range all {
			if f.removeSuspect(member.Address) {
				removed++
			}
		}
		require.Equal(t, x.want, removed, "of %d", x.size)
		require.False(t, f.removeSuspect("unknown"), "of %d", x.size)
	}
}

func TestFleet_RemoveSuspect_SmallerFleetCountsOnceThePeakIsOld(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newFleet()
	f.update(members(8), start)
	require.Len(t, f.update(members(4), start.Add(fleetTimeout)), 8)
	require.Len(t, f.update(members(4), start.Add(fleetTimeout+1)), 4)
	require.False(t, f.removeSuspect(members(1)[0].Address), "four of eight are gone already")
	require.Len(t, f.update(members(4), start.Add(2*fleetTimeout+1)), 4)
	require.True(t, f.removeSuspect(members(1)[0].Address))
	require.False(t, f.removeSuspect(members(2)[1].Address))
}
