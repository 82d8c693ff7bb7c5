package slowness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const us = time.Microsecond

// calm is a detector that knows its usual time and has heard well nodes.
func calm(peers int) *Detector {
	l := NewDetector()
	for range levelFirst + 4 {
		l.Step(10*us, time.Millisecond)
	}
	for i := range peers {
		l.UpdatePeer(fmt.Sprint("n", i), false)
	}
	return l
}

func steps(l *Detector, n int, work, late time.Duration) {
	for range n {
		l.Step(work, late)
	}
}

// slowly steps a detector that is slow until the others count, and has so many of them report that they are well.
func slowly(l *Detector, well int) {
	steps(l, levelBad+levelAfter, 50*us, 0)
	for i := range well {
		l.UpdatePeer(fmt.Sprint("n", i), false)
	}
	l.Step(50*us, 0)
}

func TestAMachineFiveTimesSlowerGoesOutAndComesBack(t *testing.T) {
	l := calm(3)
	steps(l, levelBad-1, 50*us, time.Millisecond)
	require.False(t, l.Slow(), "one or two looks are chance")
	l.Step(50*us, time.Millisecond)
	require.True(t, l.Slow())
	steps(l, levelAfter, 50*us, time.Millisecond)
	require.False(t, l.ShouldRefuseNew(), "what the others said before doesn't count")
	l.UpdatePeer("n1", false)
	l.Step(50*us, time.Millisecond)
	require.True(t, l.ShouldRefuseNew())
	require.False(t, l.ShouldShed(), "the platform must notice first")
	steps(l, levelGood-1, 10*us, 0)
	require.True(t, l.ShouldRefuseNew())
	l.Step(10*us, 0)
	require.False(t, l.ShouldRefuseNew())
}

func TestOpenConnectionsMoveOnceThePlatformHasNoticed(t *testing.T) {
	l := calm(3)
	slowly(l, 3)
	for range levelShed {
		require.False(t, l.ShouldShed())
		l.UpdatePeer("n1", false)
		l.Step(50*us, 0)
	}
	require.True(t, l.ShouldShed())
	steps(l, levelGood, 10*us, 0)
	require.False(t, l.ShouldShed())
}

func TestUsualSpreadAndSingleLateTimersAreNoEvidence(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	l := calm(3)
	for i := range 4000 {
		l.UpdatePeer("n1", false)
		late := time.Duration(r.IntN(3000)) * us
		if i%10 == 0 {
			late = time.Second
		}
		l.Step(time.Duration(6500+r.IntN(8500)), late)
		require.False(t, l.Slow())
	}
}

func TestTimersThatStayLateAreEvidence(t *testing.T) {
	l := calm(3)
	steps(l, levelBad, 10*us, 2*levelLate)
	require.True(t, l.Slow())
}

func TestItStaysInWhenNobodyIsBetter(t *testing.T) {
	l := calm(3)
	slowly(l, 0)
	require.True(t, l.Slow())
	require.False(t, l.ShouldRefuseNew(), "nobody was heard")
	for i := range 4 {
		l.UpdatePeer(fmt.Sprint("n", i), i == 0)
	}
	l.Step(50*us, 0)
	require.True(t, l.ShouldRefuseNew(), "three in four are well: %v", l.peers)
	l.UpdatePeer("n1", true)
	l.UpdatePeer("n2", true)
	l.Step(50*us, 0)
	require.False(t, l.ShouldRefuseNew(), "most are slow")
	l.UpdatePeer("n1", false)
	l.Step(50*us, 0)
	require.True(t, l.ShouldRefuseNew(), "half are well")
	steps(l, levelHeard, 50*us, 0)
	require.False(t, l.ShouldRefuseNew(), "their report is old")
}

func TestAMachineByTurnsSlowStaysOut(t *testing.T) {
	l := calm(3)
	slowly(l, 3)
	for range 30 {
		l.UpdatePeer("n1", false)
		steps(l, levelGood-2, 10*us, 0)
		require.True(t, l.ShouldRefuseNew())
		steps(l, 2, 50*us, 0)
	}
}

func TestTheUsualIsLearnedAndNotFromSlowLooks(t *testing.T) {
	l := calm(3)
	steps(l, 400, 14*us, 0)
	require.InDelta(t, 14, l.State().UsualUs, 0.1, "a machine may grow a little slower")
	steps(l, 400, 70*us, 0)
	require.InDelta(t, 14, l.State().UsualUs, 0.1)
	require.True(t, l.Slow(), "it stays slow for as long as it is")
	l = NewDetector()
	steps(l, 50, 0, 0)
	require.False(t, l.Slow(), "a clock that shows nothing is no evidence")
}

// fleet steps detectors that hear two others each, as watchers' pings do; each notices up to a look later than the first. It gives the most that were out at a time.
func fleet(r *rand.Rand, slow func(i int) bool) (most int) {
	var ls []*Detector
	for range 88 {
		ls = append(ls, calm(3))
	}
	lag := make([]int, len(ls))
	for i := range lag {
		lag[i] = r.IntN(2)
	}
	for s := range 80 {
		out := 0
		for i, l := range ls {
			if (s+i)%3 == 0 {
				for d := 1; d <= 2; d++ {
					j := (i + d*5) % len(ls)
					l.UpdatePeer(fmt.Sprint(j), ls[j].Slow())
					ls[j].UpdatePeer(fmt.Sprint(i), l.Slow())
				}
			}
			w := 10 * us
			if slow(i) && s >= lag[i] {
				w *= 5
			}
			l.Step(w, 0)
			if l.ShouldRefuseNew() {
				out++
			}
		}
		most = max(most, out)
	}
	return
}

func TestAFleetTurnsAwayItsSlowPartAndNeverItself(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		require.Equal(t, 13, fleet(r, func(i int) bool { return i%7 == 0 }))
		require.Zero(t, fleet(r, func(int) bool { return true }), "all are slow: all stay in")
		require.Zero(t, fleet(r, func(int) bool { return false }))
	}
}
