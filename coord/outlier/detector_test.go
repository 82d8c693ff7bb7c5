package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func of(n int) *Gauge {
	g, m := New(), map[string]string{}
	for i := range n {
		m[fmt.Sprintf("r%d", i)] = "p"
	}
	g.Keep(m)
	return g
}

func TestAHardFailureEjectsForATimeThatGrowsWithEpisodesAndFades(t *testing.T) {
	g := of(9)
	out := func(s float64) (d time.Duration) {
		g.Bad("r1", Silent, at(s))
		for d = 0; g.Fit("r1", false, at(s).Add(d)) == Out; d += 10 * time.Millisecond {
		}
		g.Good("r1", time.Millisecond, time.Second, false, at(s).Add(d))
		return
	}
	first, second, third := out(0), out(2), out(5)
	require.Equal(t, FirstEjection, first)
	require.Greater(t, second, first)
	require.Greater(t, third, second)
	require.LessOrEqual(t, out(10), ejectMost)
	require.Equal(t, FirstEjection, out(200), "what was long ago is forgotten")
}

func TestAnEjectionEndsWithOneTrial(t *testing.T) {
	g := of(9)
	g.Bad("r1", Refused, at(0))
	require.Equal(t, Out, g.Fit("r1", false, at(0.1)))
	require.Equal(t, Fit, g.Fit("r1", false, at(1)))
	g.Sent("r1")
	require.Equal(t, Out, g.Fit("r1", false, at(1)), "one at a time")
	g.Over("r1")
	require.Equal(t, Fit, g.Fit("r1", false, at(1)))
	g.Sent("r1")
	g.Bad("r1", Shed, at(1.1))
	require.Equal(t, Out, g.Fit("r1", false, at(1.2)), "a trial that fails ejects again, whatever the kind")
	g.Sent("r1")
	g.Good("r1", time.Millisecond, time.Second, false, at(3))
	g.Sent("r1")
	require.Equal(t, Fit, g.Fit("r1", false, at(3)))
}

func TestAGreyReplicaIsFoundAgainstItsPeers(t *testing.T) {
	g := of(9)
	for i := range 3 {
		g.Bad("r1", Failed, at(float64(i)/10))
	}
	require.Equal(t, Out, g.Fit("r1", false, at(0.3)))
	require.Equal(t, Fit, g.Fit("r2", false, at(0.3)))
	all := of(9)
	for i := range 90 {
		all.Bad(fmt.Sprintf("r%d", i%9), Failed, at(float64(i)/100))
	}
	for i := range 9 {
		require.Equal(t, Fit, all.Fit(fmt.Sprintf("r%d", i), false, at(1)), "all fail alike: nobody is worse than the others")
	}
}

func TestJudgementEjectsAPartOnlyAndNeverTheLast(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 60} {
		g := of(n)
		for i := range n {
			for range 9 {
				g.Bad(fmt.Sprintf("r%d", i), Failed, at(float64(i)*0.001))
			}
		}
		out := 0
		for i := range n {
			if g.Fit(fmt.Sprintf("r%d", i), false, at(0.2)) == Out {
				out++
			}
		}
		require.LessOrEqual(t, out, max(1, n/ejectPart))
		require.Less(t, out, n)
	}
}

func TestBeyondAPartOfTheServicePausesDoNotGrow(t *testing.T) {
	g := of(6)
	for round := range 8 {
		for i := range 6 {
			g.Bad(fmt.Sprintf("r%d", i), Refused, at(float64(round)*5+float64(i)*0.01))
		}
	}
	back := 0
	for i := range 6 {
		if g.Fit(fmt.Sprintf("r%d", i), false, at(35.1).Add(FirstEjection)) == Fit {
			back++
		}
	}
	require.GreaterOrEqual(t, back, 4)
}

func TestASuspicionEjectsNobodyButLowersTheEvidenceNeeded(t *testing.T) {
	g := of(9)
	g.Suspected([]string{"r1"}, at(0))
	n := map[Fitness]int{}
	for range 4000 {
		n[g.Fit("r1", false, at(0.1))]++
	}
	require.Zero(t, n[Out])
	require.InDelta(t, 4000*suspectPass, n[Fit], 150)
	clear(n)
	for range 4000 {
		n[g.Fit("r1", true, at(0.1))]++
	}
	require.Zero(t, n[Out])
	require.InDelta(t, 4000*suspectBold, n[Fit], 200)
	g.Bad("r2", Shed, at(0.2))
	require.Equal(t, Fit, g.Fit("r2", false, at(0.2)))
	g.Bad("r1", Shed, at(0.2))
	require.Equal(t, Out, g.Fit("r1", false, at(0.3)))
	h := of(9)
	h.Suspected([]string{"r1"}, at(0))
	require.Equal(t, Fit, h.Fit("r1", false, at(0).Add(suspectSpan)), "not repeated, it ends")
	h.Suspected([]string{"r1"}, at(0))
	h.Suspected(nil, at(0))
	require.Equal(t, Fit, h.Fit("r1", false, at(0.1)))
}

func TestOverdueIsMeasuredAgainstThePredictionOrTheServicesMean(t *testing.T) {
	g := of(9)
	d, ok := g.Due("r1", 400*time.Millisecond, time.Second)
	require.True(t, ok)
	require.Equal(t, 1600*time.Millisecond+slowLeast, d)
	_, ok = g.Due("nobody", time.Second, 0)
	require.False(t, ok)
	_, ok = g.Due("r1", 0, 0)
	require.False(t, ok, "no answers yet")
	for i := range 200 {
		g.Good(fmt.Sprintf("r%d", i%4), 40*time.Millisecond, 0, false, at(0))
	}
	d, ok = g.Due("r8", 0, 0)
	require.True(t, ok)
	require.InDelta(t, 160*time.Millisecond+slowLeast, d, float64(time.Millisecond))
	d, _ = g.Due("r8", 0, time.Second)
	require.Equal(t, 1500*time.Millisecond, d, "not before the aim is missed by half")
	for range 3 {
		g.Bad("r8", Slow, at(0))
		g.Good("r8", time.Second, time.Millisecond, true, at(0))
	}
	require.Equal(t, Fit, g.Fit("r8", false, at(0.1)), "lateness alone ejects only whom the fleet suspects")
	g.Suspected([]string{"r8"}, at(0.1))
	g.Bad("r8", Slow, at(0.1))
	require.Equal(t, Out, g.Fit("r8", false, at(0.2)))
	ws := g.Words(1, at(0))
	require.Len(t, ws, 1)
	require.Zero(t, ws[0].Good, "an overdue answer is no good one")
	require.InDelta(t, 4*blameSlow, ws[0].Bad, 1e-9)
}

func TestWordsAreToldOnceAndNoneInCalmTimes(t *testing.T) {
	g := of(50)
	g.Good("r1", time.Millisecond, time.Second, false, at(0))
	require.Empty(t, g.Words(7, at(0)))
	g.Bad("r1", Failed, at(0))
	g.Good("r1", time.Millisecond, time.Second, false, at(0))
	require.Equal(t, []Report{{"r1", 7, 1, blameFailed}}, g.Words(7, at(0)))
	require.Empty(t, g.Words(7, at(0)))
	g.Suspected([]string{"r2"}, at(0))
	g.Good("r2", time.Millisecond, time.Second, false, at(0))
	require.Equal(t, []Report{{"r2", 7, 1, 0}}, g.Words(7, at(0)), "what works is told of a suspect")
	for i := range 50 {
		g.Bad(fmt.Sprintf("r%d", i), Shed, at(0))
	}
	require.Len(t, g.Words(7, at(0)), wordsMost)
	require.NotEmpty(t, g.Stats(at(0)))
	g.Bad("r3", Silent, at(0))
	g.Words(7, at(0))
	require.Equal(t, Out, g.Fit("r3", false, at(0.1)), "telling forgets no ejection")
	g.Keep(nil)
	require.Empty(t, g.Stats(at(0)))
	g.Bad("gone", Silent, at(0))
	require.Equal(t, Fit, g.Fit("gone", false, at(0)))
}

func TestForgottenConnectionsAreHeldAgainstAReplicaOnlyIfItsPeersForgetLess(t *testing.T) {
	g, all := of(9), of(9)
	for i := range 5 {
		g.Bad("r1", Stale, at(float64(i)/10))
		for k := range 9 {
			all.Bad(fmt.Sprintf("r%d", k), Stale, at(float64(i)/10))
		}
	}
	require.Equal(t, Out, g.Fit("r1", false, at(0.5)))
	require.Equal(t, Fit, all.Fit("r1", false, at(0.5)))
	h := of(9)
	h.Bad("r1", Silent, at(0))
	h.Sent("r1")
	h.Bad("r1", Stale, at(1))
	h.Over("r1")
	require.Equal(t, Fit, h.Fit("r1", false, at(1)), "a trial on a forgotten connection tells nothing")
}
