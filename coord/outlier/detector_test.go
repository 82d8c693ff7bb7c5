package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func newTestDetector(n int) *Detector {
	detector, services := NewDetector(), map[string]string{}
	for i := range n {
		services[fmt.Sprintf("r%d", i)] = "p"
	}
	detector.SetReplicas(services)
	return detector
}

func TestRecordFailure_Timeouts_EjectionGrowsWithEpisodesAndFades(t *testing.T) {
	detector := newTestDetector(9)
	out := func(second float64) time.Duration {
		detector.RecordFailure("r1", Timeout, at(second))
		length := time.Duration(0)
		for detector.Fitness("r1", false, at(second).Add(length)) == Ejected {
			length += 10 * time.Millisecond
		}
		detector.RecordSuccess("r1", Answer{Took: time.Millisecond, Predicted: time.Second})
		return length
	}
	first, second, third := out(0), out(2), out(5)
	require.Equal(t, FirstEjectionTime, first)
	require.Greater(t, second, first)
	require.Greater(t, third, second)
	require.LessOrEqual(t, out(10), maxEjectionTime)
	require.Equal(t, FirstEjectionTime, out(200), "old episodes are forgotten")
}

func TestFitness_EjectionOver_OneTrial(t *testing.T) {
	detector := newTestDetector(9)
	detector.RecordFailure("r1", ConnectionRefused, at(0))
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(0.1)))
	require.Equal(t, Fit, detector.Fitness("r1", false, at(1)))
	detector.RequestSent("r1")
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(1)), "one at a time")
	detector.RequestEnded("r1")
	require.Equal(t, Fit, detector.Fitness("r1", false, at(1)))
	detector.RequestSent("r1")
	detector.RecordFailure("r1", Rejected, at(1.1))
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(1.2)), "a trial that fails ejects again, whatever the kind")
	detector.RequestSent("r1")
	detector.RecordSuccess("r1", Answer{Took: time.Millisecond, Predicted: time.Second})
	detector.RequestSent("r1")
	require.Equal(t, Fit, detector.Fitness("r1", false, at(3)))
}

func TestRecordFailure_GreyReplica_FoundAgainstItsPeers(t *testing.T) {
	detector := newTestDetector(9)
	for i := range 3 {
		detector.RecordFailure("r1", ServerError, at(float64(i)/10))
	}
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(0.3)))
	require.Equal(t, Fit, detector.Fitness("r2", false, at(0.3)))
	all := newTestDetector(9)
	for i := range 90 {
		all.RecordFailure(fmt.Sprintf("r%d", i%9), ServerError, at(float64(i)/100))
	}
	for i := range 9 {
		require.Equal(t, Fit, all.Fitness(fmt.Sprintf("r%d", i), false, at(1)), "all fail alike: none is worse than its peers")
	}
}

func TestRecordFailure_ManyFail_PartEjectedNeverTheLast(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 60} {
		detector := newTestDetector(n)
		for i := range n {
			for range 9 {
				detector.RecordFailure(fmt.Sprintf("r%d", i), ServerError, at(float64(i)*0.001))
			}
		}
		out := 0
		for i := range n {
			if detector.Fitness(fmt.Sprintf("r%d", i), false, at(0.2)) == Ejected {
				out++
			}
		}
		require.LessOrEqual(t, out, max(1, n/ejectableOneIn))
		require.Less(t, out, n)
	}
}

func TestRecordFailure_MoreThanPartOut_EjectionsDoNotGrow(t *testing.T) {
	detector := newTestDetector(6)
	for round := range 8 {
		for i := range 6 {
			detector.RecordFailure(fmt.Sprintf("r%d", i), ConnectionRefused, at(float64(round)*5+float64(i)*0.01))
		}
	}
	back := 0
	for i := range 6 {
		if detector.Fitness(fmt.Sprintf("r%d", i), false, at(35.1).Add(FirstEjectionTime)) == Fit {
			back++
		}
	}
	require.GreaterOrEqual(t, back, 4)
}

func TestSetSuspects_OneReplica_NotEjectedButLessEvidenceNeeded(t *testing.T) {
	detector := newTestDetector(9)
	detector.SetSuspects([]string{"r1"}, at(0))
	counts := map[Fitness]int{}
	for range 4000 {
		counts[detector.Fitness("r1", false, at(0.1))]++
	}
	require.Zero(t, counts[Ejected])
	require.InDelta(t, 4000*suspectShare, counts[Fit], 150)
	clear(counts)
	for range 4000 {
		counts[detector.Fitness("r1", true, at(0.1))]++
	}
	require.Zero(t, counts[Ejected])
	require.InDelta(t, 4000*suspectRetriableShare, counts[Fit], 200)
	detector.RecordFailure("r2", Rejected, at(0.2))
	require.Equal(t, Fit, detector.Fitness("r2", false, at(0.2)))
	detector.RecordFailure("r1", Rejected, at(0.2))
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(0.3)))
	suspecting := newTestDetector(9)
	suspecting.SetSuspects([]string{"r1"}, at(0))
	require.Equal(t, Fit, suspecting.Fitness("r1", false, at(0).Add(suspicionLifetime)), "a suspicion that is not repeated ends")
	suspecting.SetSuspects([]string{"r1"}, at(0))
	suspecting.SetSuspects(nil, at(0))
	require.Equal(t, Fit, suspecting.Fitness("r1", false, at(0.1)))
}

func TestOverdueAfter_PredictionOrMean_FactorOfIt(t *testing.T) {
	detector := newTestDetector(9)
	after, ok := detector.OverdueAfter("r1", 400*time.Millisecond, time.Second)
	require.True(t, ok)
	require.Equal(t, 1600*time.Millisecond+overdueMargin, after)
	_, ok = detector.OverdueAfter("nobody", time.Second, 0)
	require.False(t, ok)
	_, ok = detector.OverdueAfter("r1", 0, 0)
	require.False(t, ok, "no answers yet")
	for i := range 200 {
		detector.RecordSuccess(fmt.Sprintf("r%d", i%4), Answer{Took: 40 * time.Millisecond})
	}
	after, ok = detector.OverdueAfter("r8", 0, 0)
	require.True(t, ok)
	require.InDelta(t, 160*time.Millisecond+overdueMargin, after, float64(time.Millisecond))
	after, _ = detector.OverdueAfter("r8", 0, time.Second)
	require.Equal(t, 1500*time.Millisecond, after, "not before one and a half latency targets")
	for range 3 {
		detector.RecordFailure("r8", Overdue, at(0))
		detector.RecordSuccess("r8", Answer{Took: time.Second, Predicted: time.Millisecond, Overdue: true})
	}
	require.Equal(t, Fit, detector.Fitness("r8", false, at(0.1)), "overdue answers eject only suspects")
	detector.SetSuspects([]string{"r8"}, at(0.1))
	detector.RecordFailure("r8", Overdue, at(0.1))
	require.Equal(t, Ejected, detector.Fitness("r8", false, at(0.2)))
	reports := detector.TakeReports(1, at(0))
	require.Len(t, reports, 1)
	require.Zero(t, reports[0].Successes, "an overdue answer is no success")
	require.InDelta(t, 4*weights[Overdue], reports[0].Failures, 1e-9)
}

func TestTakeReports_FaultsAndCalm_ReportedOnce(t *testing.T) {
	detector := newTestDetector(50)
	detector.RecordSuccess("r1", Answer{Took: time.Millisecond, Predicted: time.Second})
	require.Empty(t, detector.TakeReports(7, at(0)))
	detector.RecordFailure("r1", ServerError, at(0))
	detector.RecordSuccess("r1", Answer{Took: time.Millisecond, Predicted: time.Second})
	require.Equal(t, []Report{{"r1", 7, 1, weights[ServerError]}}, detector.TakeReports(7, at(0)))
	require.Empty(t, detector.TakeReports(7, at(0)))
	detector.SetSuspects([]string{"r2"}, at(0))
	detector.RecordSuccess("r2", Answer{Took: time.Millisecond, Predicted: time.Second})
	require.Equal(t, []Report{{"r2", 7, 1, 0}}, detector.TakeReports(7, at(0)), "successes of a suspect are reported")
	for i := range 50 {
		detector.RecordFailure(fmt.Sprintf("r%d", i), Rejected, at(0))
	}
	require.Len(t, detector.TakeReports(7, at(0)), maxReports)
	require.NotEmpty(t, detector.Stats(at(0)))
	detector.RecordFailure("r3", Timeout, at(0))
	detector.TakeReports(7, at(0))
	require.Equal(t, Ejected, detector.Fitness("r3", false, at(0.1)), "reporting forgets no ejection")
	detector.SetReplicas(nil)
	require.Empty(t, detector.Stats(at(0)))
	detector.RecordFailure("gone", Timeout, at(0))
	require.Equal(t, Fit, detector.Fitness("gone", false, at(0)))
}

func TestRecordFailure_StaleConnections_CountOnlyBeyondPeers(t *testing.T) {
	detector, all := newTestDetector(9), newTestDetector(9)
	for i := range 5 {
		detector.RecordFailure("r1", StaleConnection, at(float64(i)/10))
		for k := range 9 {
			all.RecordFailure(fmt.Sprintf("r%d", k), StaleConnection, at(float64(i)/10))
		}
	}
	require.Equal(t, Ejected, detector.Fitness("r1", false, at(0.5)))
	require.Equal(t, Fit, all.Fitness("r1", false, at(0.5)))
	trial := newTestDetector(9)
	trial.RecordFailure("r1", Timeout, at(0))
	trial.RequestSent("r1")
	trial.RecordFailure("r1", StaleConnection, at(1))
	trial.RequestEnded("r1")
	require.Equal(t, Fit, trial.Fitness("r1", false, at(1)), "a trial on a stale connection says nothing")
}
