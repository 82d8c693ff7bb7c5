package slowness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const microsecond = time.Microsecond

// calibratedDetector has a baseline; three peers have reported that they are healthy.
func calibratedDetector() *Detector {
	l := NewDetector()
	for range samplesForBaseline + 4 {
		l.Step(10*microsecond, time.Millisecond)
	}
	for i := range 3 {
		l.UpdatePeer(fmt.Sprint("n", i), false)
	}
	return l
}

func repeatStep(l *Detector, n int, work, late time.Duration) {
	for range n {
		l.Step(work, late)
	}
}

// becomeSlow steps a detector that is slow until reports of peers count, and has so many of them report that they are
// well.
func becomeSlow(l *Detector, healthy int) {
	repeatStep(l, stepsToSlow+stepsBeforePeersCount, 50*microsecond, 0)
	for i := range healthy {
		l.UpdatePeer(fmt.Sprint("n", i), false)
	}
	l.Step(50*microsecond, 0)
}

func TestDetector_FiveTimesSlower_RefusesNewUntilRecovered(t *testing.T) {
	l := calibratedDetector()
	repeatStep(l, stepsToSlow-1, 50*microsecond, time.Millisecond)
	require.False(t, l.Slow(), "one or two steps are chance")
	l.Step(50*microsecond, time.Millisecond)
	require.True(t, l.Slow())
	repeatStep(l, stepsBeforePeersCount, 50*microsecond, time.Millisecond)
	require.False(t, l.ShouldRefuseNew(), "reports from before it was slow don't count")
	l.UpdatePeer("n1", false)
	l.Step(50*microsecond, time.Millisecond)
	require.True(t, l.ShouldRefuseNew())
	require.False(t, l.ShouldShed(), "the platform must notice first")
	repeatStep(l, stepsToRecover-1, 10*microsecond, 0)
	require.True(t, l.ShouldRefuseNew())
	l.Step(10*microsecond, 0)
	require.False(t, l.ShouldRefuseNew())
}

func TestDetector_StaysSlow_ShedsAfterThePlatformNoticed(t *testing.T) {
	l := calibratedDetector()
	becomeSlow(l, 3)
	for range stepsToShed {
		require.False(t, l.ShouldShed())
		l.UpdatePeer("n1", false)
		l.Step(50*microsecond, 0)
	}
	require.True(t, l.ShouldShed())
	repeatStep(l, stepsToRecover, 10*microsecond, 0)
	require.False(t, l.ShouldShed())
}

func TestDetector_HealthySpreadAndSingleLateTimers_NotSlow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	l := calibratedDetector()
	for i := range 4000 {
		l.UpdatePeer("n1", false)
		late := time.Duration(r.IntN(3000)) * microsecond
		if i%10 == 0 {
			late = time.Second
		}
		l.Step(time.Duration(6500+r.IntN(8500)), late)
		require.False(t, l.Slow())
	}
}

func TestDetector_TimersStayLate_Slow(t *testing.T) {
	l := calibratedDetector()
	repeatStep(l, stepsToSlow, 10*microsecond, 2*lateTimer)
	require.True(t, l.Slow())
}

func TestDetector_MajorityOfPeersSlow_RefusesNothing(t *testing.T) {
	l := calibratedDetector()
	becomeSlow(l, 0)
	require.True(t, l.Slow())
	require.False(t, l.ShouldRefuseNew(), "no peer has reported")
	for i := range 4 {
		l.UpdatePeer(fmt.Sprint("n", i), i == 0)
	}
	l.Step(50*microsecond, 0)
	require.True(t, l.ShouldRefuseNew(), "three in four are healthy: %v", l.peers)
	l.UpdatePeer("n1", true)
	l.UpdatePeer("n2", true)
	l.Step(50*microsecond, 0)
	require.False(t, l.ShouldRefuseNew(), "most are slow")
	l.UpdatePeer("n1", false)
	l.Step(50*microsecond, 0)
	require.True(t, l.ShouldRefuseNew(), "half are healthy")
	repeatStep(l, peerReportSteps, 50*microsecond, 0)
	require.False(t, l.ShouldRefuseNew(), "their reports are too old")
}

func TestDetector_IntermittentlySlow_KeepsRefusing(t *testing.T) {
	l := calibratedDetector()
	becomeSlow(l, 3)
	for range 30 {
		l.UpdatePeer("n1", false)
		repeatStep(l, stepsToRecover-2, 10*microsecond, 0)
		require.True(t, l.ShouldRefuseNew())
		repeatStep(l, 2, 50*microsecond, 0)
	}
}

func TestDetector_Baseline_NotLearnedWhileSlow(t *testing.T) {
	l := calibratedDetector()
	repeatStep(l, 400, 14*microsecond, 0)
	require.InDelta(t, 14, l.State().BaselineUs, 0.1, "a machine may grow a little slower")
	repeatStep(l, 400, 70*microsecond, 0)
	require.InDelta(t, 14, l.State().BaselineUs, 0.1)
	require.True(t, l.Slow(), "slow work is not learned as the baseline")
	l = NewDetector()
	repeatStep(l, 50, 0, 0)
	require.False(t, l.Slow(), "a work time of 0 is no evidence")
}

// maxRefusing steps a fleet of detectors that get the reports of two others each, as watchers' pings do; each notices up
// to a step later than the first. It gives how many refused at a time at most.
func maxRefusing(r *rand.Rand, slow func(i int) bool) int {
	largest := 0
	var ls []*Detector
	for range 88 {
		ls = append(ls, calibratedDetector())
	}
	lag := make([]int, len(ls))
	for i := range lag {
		lag[i] = r.IntN(2)
	}
	for s := range 80 {
		refusing := 0
		for i, l := range ls {
			if (s+i)%3 == 0 {
				for d := 1; d <= 2; d++ {
					j := (i + d*5) % len(ls)
					l.UpdatePeer(fmt.Sprint(j), ls[j].Slow())
					ls[j].UpdatePeer(fmt.Sprint(i), l.Slow())
				}
			}
			w := 10 * microsecond
			if slow(i) && s >= lag[i] {
				w *= 5
			}
			l.Step(w, 0)
			if l.ShouldRefuseNew() {
				refusing++
			}
		}
		largest = max(largest, refusing)
	}
	return largest
}

func TestDetectors_Fleet_OnlyTheSlowPartRefuses(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		require.Equal(t, 13, maxRefusing(r, func(i int) bool { return i%7 == 0 }))
		require.Zero(t, maxRefusing(r, func(int) bool { return true }), "all are slow: none refuses")
		require.Zero(t, maxRefusing(r, func(int) bool { return false }))
	}
}
