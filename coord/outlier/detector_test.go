package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func of(n int) *Detector {
	g, m := NewDetector(), map[string]string{}
	for i := range n {
		m[fmt.Sprintf("r%d", i)] = "p"
	}
	g.SetReplicas(m)
	return g
}

func TestAHardFailureEjectsForATimeThatGrowsWithEpisodesAndFades(t *testing.T) {
	g := of(9)
	out := func(s float64) (d time.Duration) {
		g.RecordFailure("r1", Timeout, at(s))
		for d = 0; g.Fitness("r1", false, at(s).Add(d)) == Ejected; d += 10 * time.Millisecond {
		}
		g.RecordSuccess("r1", time.Millisecond, time.Second, false, at(s).Add(d))
		return
	}
	first, second, third := out(0), out(2), out(5)
	require.Equal(t, FirstEjectionTime, first)
	require.Greater(t, second, first)
	require.Greater(t, third, second)
	require.LessOrEqual(t, out(10), maxEjectionTime)
	require.Equal(t, FirstEjectionTime, out(200), "what was long ago is forgotten")
}

func TestAnEjectionEndsWithOneTrial(t *testing.T) {
	g := of(9)
	g.RecordFailure("r1", ConnectionRefused, at(0))
	require.Equal(t, Ejected, g.Fitness("r1", false, at(0.1)))
	require.Equal(t, Fit, g.Fitness("r1", false, at(1)))
	g.RequestSent("r1")
	require.Equal(t, Ejected, g.Fitness("r1", false, at(1)), "one at a time")
	g.RequestEnded("r1")
	require.Equal(t, Fit, g.Fitness("r1", false, at(1)))
	g.RequestSent("r1")
	g.RecordFailure("r1", Rejected, at(1.1))
	require.Equal(t, Ejected, g.Fitness("r1", false, at(1.2)), "a trial that fails ejects again, whatever the kind")
	g.RequestSent("r1")
	g.RecordSuccess("r1", time.Millisecond, time.Second, false, at(3))
	g.RequestSent("r1")
	require.Equal(t, Fit, g.Fitness("r1", false, at(3)))
}

func TestAGreyReplicaIsFoundAgainstItsPeers(t *testing.T) {
	g := of(9)
	for i := range 3 {
		g.RecordFailure("r1", ServerError, at(float64(i)/10))
	}
	require.Equal(t, Ejected, g.Fitness("r1", false, at(0.3)))
	require.Equal(t, Fit, g.Fitness("r2", false, at(0.3)))
	all := of(9)
	for i := range 90 {
		all.RecordFailure(fmt.Sprintf("r%d", i%9), ServerError, at(float64(i)/100))
	}
	for i := range 9 {
		require.Equal(t, Fit, all.Fitness(fmt.Sprintf("r%d", i), false, at(1)), "all fail alike: nobody is worse than the others")
	}
}

func TestJudgementEjectsAPartOnlyAndNeverTheLast(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 60} {
		g := of(n)
		for i := range n {
			for range 9 {
				g.RecordFailure(fmt.Sprintf("r%d", i), ServerError, at(float64(i)*0.001))
			}
		}
		out := 0
		for i := range n {
			if g.Fitness(fmt.Sprintf("r%d", i), false, at(0.2)) == Ejected {
				out++
			}
		}
		require.LessOrEqual(t, out, max(1, n/ejectableOneIn))
		require.Less(t, out, n)
	}
}

func TestBeyondAPartOfTheServicePausesDoNotGrow(t *testing.T) {
	g := of(6)
	for round := range 8 {
		for i := range 6 {
			g.RecordFailure(fmt.Sprintf("r%d", i), ConnectionRefused, at(float64(round)*5+float64(i)*0.01))
		}
	}
	back := 0
	for i := range 6 {
		if g.Fitness(fmt.Sprintf("r%d", i), false, at(35.1).Add(FirstEjectionTime)) == Fit {
			back++
		}
	}
	require.GreaterOrEqual(t, back, 4)
}

func TestASuspicionEjectsNobodyButLowersTheEvidenceNeeded(t *testing.T) {
	g := of(9)
	g.SetSuspects([]string{"r1"}, at(0))
	n := map[Fitness]int{}
	for range 4000 {
		n[g.Fitness("r1", false, at(0.1))]++
	}
	require.Zero(t, n[Ejected])
	require.InDelta(t, 4000*suspectShare, n[Fit], 150)
	clear(n)
	for range 4000 {
		n[g.Fitness("r1", true, at(0.1))]++
	}
	require.Zero(t, n[Ejected])
	require.InDelta(t, 4000*suspectRetriableShare, n[Fit], 200)
	g.RecordFailure("r2", Rejected, at(0.2))
	require.Equal(t, Fit, g.Fitness("r2", false, at(0.2)))
	g.RecordFailure("r1", Rejected, at(0.2))
	require.Equal(t, Ejected, g.Fitness("r1", false, at(0.3)))
	h := of(9)
	h.SetSuspects([]string{"r1"}, at(0))
	require.Equal(t, Fit, h.Fitness("r1", false, at(0).Add(suspicionLifetime)), "not repeated, it ends")
	h.SetSuspects([]string{"r1"}, at(0))
	h.SetSuspects(nil, at(0))
	require.Equal(t, Fit, h.Fitness("r1", false, at(0.1)))
}

func TestOverdueIsMeasuredAgainstThePredictionOrTheServicesMean(t *testing.T) {
	g := of(9)
	d, ok := g.OverdueAfter("r1", 400*time.Millisecond, time.Second)
	require.True(t, ok)
	require.Equal(t, 1600*time.Millisecond+overdueMargin, d)
	_, ok = g.OverdueAfter("nobody", time.Second, 0)
	require.False(t, ok)
	_, ok = g.OverdueAfter("r1", 0, 0)
	require.False(t, ok, "no answers yet")
	for i := range 200 {
		g.RecordSuccess(fmt.Sprintf("r%d", i%4), 40*time.Millisecond, 0, false, at(0))
	}
	d, ok = g.OverdueAfter("r8", 0, 0)
	require.True(t, ok)
	require.InDelta(t, 160*time.Millisecond+overdueMargin, d, float64(time.Millisecond))
	d, _ = g.OverdueAfter("r8", 0, time.Second)
	require.Equal(t, 1500*time.Millisecond, d, "not before the aim is missed by half")
	for range 3 {
		g.RecordFailure("r8", Overdue, at(0))
		g.RecordSuccess("r8", time.Second, time.Millisecond, true, at(0))
	}
	require.Equal(t, Fit, g.Fitness("r8", false, at(0.1)), "lateness alone ejects only whom the fleet suspects")
	g.SetSuspects([]string{"r8"}, at(0.1))
	g.RecordFailure("r8", Overdue, at(0.1))
	require.Equal(t, Ejected, g.Fitness("r8", false, at(0.2)))
	ws := g.TakeReports(1, at(0))
	require.Len(t, ws, 1)
	require.Zero(t, ws[0].Successes, "an overdue answer is no good one")
	require.InDelta(t, 4*weightOverdue, ws[0].Failures, 1e-9)
}

func TestWordsAreToldOnceAndNoneInCalmTimes(t *testing.T) {
	g := of(50)
	g.RecordSuccess("r1", time.Millisecond, time.Second, false, at(0))
	require.Empty(t, g.TakeReports(7, at(0)))
	g.RecordFailure("r1", ServerError, at(0))
	g.RecordSuccess("r1", time.Millisecond, time.Second, false, at(0))
	require.Equal(t, []Report{{"r1", 7, 1, weightServerError}}, g.TakeReports(7, at(0)))
	require.Empty(t, g.TakeReports(7, at(0)))
	g.SetSuspects([]string{"r2"}, at(0))
	g.RecordSuccess("r2", time.Millisecond, time.Second, false, at(0))
	require.Equal(t, []Report{{"r2", 7, 1, 0}}, g.TakeReports(7, at(0)), "what works is told of a suspect")
	for i := range 50 {
		g.RecordFailure(fmt.Sprintf("r%d", i), Rejected, at(0))
	}
	require.Len(t, g.TakeReports(7, at(0)), maxReports)
	require.NotEmpty(t, g.Stats(at(0)))
	g.RecordFailure("r3", Timeout, at(0))
	g.TakeReports(7, at(0))
	require.Equal(t, Ejected, g.Fitness("r3", false, at(0.1)), "telling forgets no ejection")
	g.SetReplicas(nil)
	require.Empty(t, g.Stats(at(0)))
	g.RecordFailure("gone", Timeout, at(0))
	require.Equal(t, Fit, g.Fitness("gone", false, at(0)))
}

func TestForgottenConnectionsAreHeldAgainstAReplicaOnlyIfItsPeersForgetLess(t *testing.T) {
	g, all := of(9), of(9)
	for i := range 5 {
		g.RecordFailure("r1", StaleConnection, at(float64(i)/10))
		for k := range 9 {
			all.RecordFailure(fmt.Sprintf("r%d", k), StaleConnection, at(float64(i)/10))
		}
	}
	require.Equal(t, Ejected, g.Fitness("r1", false, at(0.5)))
	require.Equal(t, Fit, all.Fitness("r1", false, at(0.5)))
	h := of(9)
	h.RecordFailure("r1", Timeout, at(0))
	h.RequestSent("r1")
	h.RecordFailure("r1", StaleConnection, at(1))
	h.RequestEnded("r1")
	require.Equal(t, Fit, h.Fitness("r1", false, at(1)), "a trial on a forgotten connection tells nothing")
}
