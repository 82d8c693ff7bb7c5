package simtest

import (
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// ended is an exchange that breaks no rule; tests change one thing in it.
func ended(status int, change func(*exchange)) *exchange {
	r := &request{
		id:     "q1",
		route:  &route{Name: "r-i", Service: "svc", TimeoutMs: 3000, TargetLatencyMs: 400, MaxAttempts: 2},
		router: "router-1",
		budget: 3 * time.Second,
		sentAt: time.Now(),
		ranOn:  map[string]bool{},
		sealed: map[int]bool{},
	}
	x := &exchange{request: r, status: status, header: http.Header{}, endedAt: time.Now().Add(20 * time.Millisecond)}
	change(x)
	return x
}

// inSimulation runs a test in an empty simulation that has been calm for long.
func inSimulation(t *testing.T, f func(*Simulation)) {
	synctest.Test(t, func(*testing.T) {
		sim := NewSimulation(slog.New(slog.DiscardHandler))
		time.Sleep(time.Minute)
		f(sim)
		sim.Close()
	})
}

// TestExchangeRules shows for each rule on exchanges one that it passes and one that it finds.
func TestExchangeRules(t *testing.T) {
	sealed := func(status int) func(*exchange) {
		return func(x *exchange) {
			x.header.Set("Replica-Seal", sealOf(x.id))
			x.sealed[status] = true
			x.body = answerTo(x.id)
		}
	}
	held := func(d time.Duration) func(*exchange) {
		return func(x *exchange) { x.endedAt = x.sentAt.Add(d) }
	}
	for _, c := range []struct {
		name   string
		rule   func(*Simulation, *exchange) string
		status int
		change func(*exchange)
		wrong  bool
	}{
		{"complete answer", checkMixed, 200, sealed(200), false},
		{"success without a seal", checkMixed, 200, func(x *exchange) { x.body = answerTo(x.id) }, true},
		{"another's answer", checkMixed, 200, func(x *exchange) { sealed(200)(x); x.body = answerTo("q2") }, true},
		{"failure as the replica gave it", checkMixedFailure, 500, sealed(500), false},
		{"own failure without a seal", checkMixedFailure, 502, func(*exchange) {}, false},
		{"own status with a seal", checkMixedFailure, 502, sealed(500), true},
		{"rejection of what never ran", checkRejected, 503, func(x *exchange) { x.once = true }, false},
		{"rejection of what ran", checkRejected, 503, func(x *exchange) { x.once, x.runs = true, 1 }, true},
		{"rejection that says when", checkRetryAfter, 503, func(x *exchange) { x.header.Set("Retry-After", "1") }, false},
		{"rejection that does not", checkRetryAfter, 503, func(*exchange) {}, true},
		{"held to the timeout", checkHeldPastTimeout, 504, held(3200 * time.Millisecond), false},
		{"held beyond it", checkHeldPastTimeout, 504, held(3300 * time.Millisecond), true},
		{"rejected soon", checkUnoffered, 503, held(1400 * time.Millisecond), false},
		{"rejected late, never offered", checkUnoffered, 503, held(1600 * time.Millisecond), true},
		{"rejected late after an offer", checkUnoffered, 503, func(x *exchange) { held(1600 * time.Millisecond)(x); x.offered = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(sim *Simulation) {
				got := c.rule(sim, ended(c.status, c.change))
				require.Equal(t, c.wrong, got != "", got)
			})
		})
	}
}

// TestRuleLost shows what beside planned work is a loss and what is not.
func TestRuleLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Simulation, *exchange)
		wrong  bool
	}{
		{"its router leaves", func(sim *Simulation, x *exchange) { sim.planned.leaving["router-1"] = x.sentAt }, true},
		{"its router reloads", func(sim *Simulation, x *exchange) { sim.planned.reloaded["router-1"] = x.sentAt }, true},
		{"another router leaves", func(sim *Simulation, x *exchange) { sim.planned.leaving["router-2"] = x.sentAt }, false},
		{"the replica broke off", func(sim *Simulation, x *exchange) { sim.planned.leaving["router-1"] = x.sentAt; x.brokeOff = true }, false},
		{"it was never passed on and closed at once", func(sim *Simulation, x *exchange) { sim.planned.leaving["router-1"] = x.sentAt; x.offered = false }, false},
		{"its time was over", func(sim *Simulation, x *exchange) {
			sim.planned.leaving["router-1"] = x.sentAt
			x.endedAt = x.sentAt.Add(3 * time.Second)
		}, false},
		{"a machine was killed just before", func(sim *Simulation, x *exchange) {
			sim.planned.leaving["router-1"] = x.sentAt
			sim.addFaultLocked("controller-1")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(sim *Simulation) {
				x := ended(0, func(x *exchange) { x.offered = true })
				c.change(sim, x)
				got := checkLost(sim, x)
				require.Equal(t, c.wrong, got != "", got)
			})
		})
	}
}

// TestPriceNeedlessRejection shows that a rejection counts only while replicas have free slots.
func TestPriceNeedlessRejection(t *testing.T) {
	for _, c := range []struct {
		name  string
		busy  int
		how   behaviour
		wrong bool
	}{
		{"room", 3, behavesWell, true},
		{"half taken", 4, behavesWell, false},
		{"the replica rejects", 0, behavesFull, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(sim *Simulation) {
				r := sim.AddReplica("r1", "svc", "10.7.0.1", "a")
				r.busy, r.behaviour = c.busy, c.how
				got := checkNeedlessRejection(sim, ended(503, func(*exchange) {}))
				require.Equal(t, c.wrong, got != "", got)
			})
		})
	}
}

// TestRuleDrain shows for rules on arrivals one that passes and one that is found.
func TestRuleDrain(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Simulation, *arrival)
		wrong  bool
	}{
		{"ready", func(*Simulation, *arrival) {}, false},
		{"leaving for less than the bound", func(_ *Simulation, a *arrival) { leavingFor(a, 2*time.Second) }, false},
		{"leaving for more", func(_ *Simulation, a *arrival) { leavingFor(a, 4*time.Second) }, true},
		{"the platform was down meanwhile", func(sim *Simulation, a *arrival) {
			leavingFor(a, 4*time.Second)
			sim.platform.outages = []outage{{from: a.now.Add(-3 * time.Second), till: a.now.Add(-time.Second)}}
		}, false},
		{"the platform is down", func(sim *Simulation, a *arrival) {
			leavingFor(a, 4*time.Second)
			sim.platform.outages = []outage{{from: a.now.Add(-2 * time.Second)}}
		}, false},
		{"out of touch", func(sim *Simulation, a *arrival) {
			leavingFor(a, 4*time.Second)
			sim.connectedOnly, sim.coreSize = true, 3
			sim.addFaultLocked("controller-1")
		}, false},
		{"in touch again, counted from the list", func(sim *Simulation, a *arrival) {
			leavingFor(a, 4*time.Second)
			sim.connectedOnly = true
			sim.processes["controller-1"] = &Process{Name: "controller-1", incarnation: &incarnation{}}
			sim.coreSize = 1
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(sim *Simulation) {
				a := &arrival{sim: sim, replica: &Replica{ID: "r1", state: "ready"}, sender: &Process{Name: "router-1"}, now: time.Now()}
				c.change(sim, a)
				got := checkDrain(a)
				delete(sim.processes, "controller-1")
				require.Equal(t, c.wrong, got != "", got)
			})
		})
	}
}

func leavingFor(a *arrival, d time.Duration) {
	a.replica.state, a.replica.since = "draining", a.now.Add(-d)
}

// TestAttemptRules shows the bounds on where and how often a request runs.
func TestAttemptRules(t *testing.T) {
	r := &request{id: "q1", route: &route{MaxAttempts: 2}, ranOn: map[string]bool{"r1": true, "r2": true}, runs: 2}
	require.Empty(t, checkAttempts(r))
	require.Empty(t, checkRunsOnce(r))
	r.ranOn["r3"] = true
	require.NotEmpty(t, checkAttempts(r))
	r.once = true
	require.NotEmpty(t, checkRunsOnce(r))
}

// TestOperatorRules shows what answers to orders are checked for.
func TestOperatorRules(t *testing.T) {
	require.NotEmpty(t, checkRepeat(true, 412))
	require.Empty(t, checkRepeat(false, 412))
	require.Empty(t, checkRepeat(true, 200))
	require.Empty(t, checkRepeat(true, 503))
	require.Empty(t, checkRepeat(true, 429))
	require.Empty(t, checkRedirect("http://10.0.0.2", map[string]bool{"http://10.0.0.1": true}))
	require.NotEmpty(t, checkRedirect("http://10.0.0.1", map[string]bool{"http://10.0.0.1": true}))
	require.NotEmpty(t, checkRedirect("", nil))
	require.NotEmpty(t, checkWait(1100*time.Millisecond, true))
	require.Empty(t, checkWait(1100*time.Millisecond, false))
	require.Empty(t, checkWait(900*time.Millisecond, true))
}

// TestRuleRepeatRejected_ComparesWithNewestAcknowledgement follows orders as the operator sends them.
func TestRuleRepeatRejected_ComparesWithNewestAcknowledgement(t *testing.T) {
	inSimulation(t, func(sim *Simulation) {
		first := order{"PUT", "/v1/config", "0", configurationAt(5, "", "")}
		second := order{"PUT", "/v1/config", "5", configurationAt(7, "", "")}
		sim.recordAnswer(first, sim.recordSent(first), 200)
		sim.recordAnswer(first, sim.recordSent(first), 412)
		require.Len(t, sim.violations, 1)
		sim.recordSent(second)
		sim.recordAnswer(first, sim.recordSent(first), 412)
		require.Len(t, sim.violations, 1, "another change was sent since")
		sim.recordAnswer(second, false, 200)
		sim.recordAnswer(second, sim.recordSent(second), 412)
		require.Len(t, sim.violations, 2)
		sim.operator.open[first] = true
		sim.recordAnswer(second, sim.recordSent(second), 412)
		require.Len(t, sim.violations, 2, "another change may still be taken")
	})
}

// TestScenarioRules shows for rules on whole scenarios what they find.
func TestScenarioRules(t *testing.T) {
	kind := func(name string, priority, asked, served int, later bool) *routeCount {
		return &routeCount{
			route:      &route{Name: name, Service: "svc", Priority: priority, addedLater: later},
			asked:      asked,
			served:     served,
			calmAsked:  asked,
			calmServed: served,
		}
	}
	for _, c := range []struct {
		name  string
		check func(*counts) []string
		kinds []*routeCount
		wrong bool
	}{
		{"later routes as the first", checkLaterRoutes, []*routeCount{kind("a", 1, 100, 90, false), kind("b", 1, 100, 30, true)}, false},
		{"later routes hardly", checkLaterRoutes, []*routeCount{kind("a", 1, 100, 90, false), kind("b", 1, 100, 20, true)}, true},
		{"too few of them", checkLaterRoutes, []*routeCount{kind("a", 1, 100, 90, false), kind("b", 1, 19, 0, true)}, false},
		{"a kind starves", checkStarvedRoutes, []*routeCount{kind("a", 1, 100, 100, false), kind("b", 1, 20, 4, false)}, true},
		{"no kind does", checkStarvedRoutes, []*routeCount{kind("a", 1, 100, 100, false), kind("b", 1, 20, 5, false)}, false},
		{"the urgent one less often", checkUrgency, []*routeCount{kind("a", 0, 100, 80, false), kind("b", 2, 100, 86, false)}, true},
		{"by less than the gap", checkUrgency, []*routeCount{kind("a", 0, 100, 80, false), kind("b", 2, 100, 84, false)}, false},
		{"the urgent one more often", checkUrgency, []*routeCount{kind("a", 0, 100, 90, false), kind("b", 2, 100, 10, false)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := newCounts()
			for _, k := range c.kinds {
				all.routes[k.route.Name] = k
			}
			got := c.check(&all)
			require.Equal(t, c.wrong, len(got) > 0, got)
		})
	}
}

// TestRuleStarved shows how many subjects may go unserved.
func TestRuleStarved(t *testing.T) {
	all := newCounts()
	all.routes["a"] = &routeCount{asked: 400, served: 380}
	start := time.Now()
	for i := range 50 {
		s := &subjectCount{asked: 8, served: 8, first: start, last: start.Add(10 * time.Second)}
		if i < 4 {
			s.served = 0
		}
		all.subjects[string(rune('a'+i))] = s
	}
	require.Empty(t, checkStarvedSubjects(&all), "two and four in a hundred may")
	all.subjects["f"].served = 0
	require.NotEmpty(t, checkStarvedSubjects(&all))
	all.subjects["f"].last = start.Add(time.Second)
	all.subjects["d"].last = start.Add(time.Second)
	require.Empty(t, checkStarvedSubjects(&all), "those that are asked for a short time don't count")
}
