package simtest

import (
	"fmt"
	"math"
	"sort"
	"time"

	"shaletrestle/coord/invariant"
)

// Bounds of the rules on a whole scenario.
const (
	minRouteRequests   = 20  // requests of a kind that make its share count
	laterRouteFactor   = 4.0 // routes added later are served at least one such part as often as the first
	starvedFactor      = 4.0 // the same for a kind of request against all
	urgencyGap         = 0.05
	minSubjectRequests = 4 // requests that make a subject one that is asked for through the scenario
	subjectSpan        = 8 * time.Second
	subjectFree        = 2.0 // subjects that may go unserved
	subjectFreePer     = 0.04
	subjectChance      = 3.0 // and so many times those that chance leaves unserved
)

// scenarioRule checks what was counted over a scenario; a check returns all that is wrong. It is called with the simulation's lock held.
type scenarioRule struct {
	rule  Rule
	check func(*counts) []string
}

var scenarioRules = []scenarioRule{
	{RuleLaterRoutes, checkLaterRoutes},
	{RuleStarvedRoute, checkStarvedRoutes},
	{RuleStarved, checkStarvedSubjects},
	{PriceUrgency, checkUrgency},
}

// processRecorder are the invariants of one incarnation of a process.
type processRecorder struct {
	process  string
	recorder *invariant.Recorder
}

// watchInvariants has the invariants of a process that was started judged at the end.
func (sim *Simulation) watchInvariants(process string, recorder *invariant.Recorder) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.recorders = append(sim.recorders, processRecorder{process, recorder})
}

// violatedInvariants names the invariants that processes found violated, for the text of another failure; empty if none.
func (sim *Simulation) violatedInvariants() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	text := ""
	for _, each := range sim.recorders {
		for _, violated := range each.recorder.Violations() {
			text += fmt.Sprintf("; %s: invariant %s violated %d times", each.process, violated.Name, violated.Violations)
		}
	}
	return text
}

// judgeScenario checks the whole scenario against the rules.
func (sim *Simulation) judgeScenario() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, each := range sim.recorders {
		for _, violated := range each.recorder.Violations() {
			sim.addViolationLocked(RuleInvariant, fmt.Sprintf("%s: %s, %d times", each.process, violated.Name, violated.Violations))
		}
	}
	for _, r := range scenarioRules {
		for _, wrong := range r.check(&sim.counts) {
			sim.addViolationLocked(r.rule, wrong)
		}
	}
}

// sorted gives the kinds by name.
func (c *counts) sorted() []*routeCount {
	var all []*routeCount
	for _, k := range c.routes {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].route.Name < all[j].route.Name })
	return all
}

// total adds all kinds up.
func (c *counts) total() (all routeCount) {
	for _, k := range c.routes {
		all.asked += k.asked
		all.served += k.served
	}
	return all
}

func (c *counts) servedShare() float64 {
	all := c.total()
	return all.share()
}

// checkLaterRoutes compares the routes that were added later with the first ones, in calm times.
func checkLaterRoutes(c *counts) []string {
	var first, later routeCount
	for _, k := range c.sorted() {
		sum := &first
		if k.route.addedLater {
			sum = &later
		}
		sum.calmAsked += k.calmAsked
		sum.calmServed += k.calmServed
	}
	if later.calmAsked < minRouteRequests || first.calmAsked < minRouteRequests {
		return nil
	}
	if later.calmShare() >= first.calmShare()/laterRouteFactor {
		return nil
	}
	return []string{fmt.Sprintf("routes added later served %d of %d, the first ones %d of %d", later.calmServed, later.calmAsked, first.calmServed, first.calmAsked)}
}

// checkStarvedRoutes compares each kind of request with all of them.
func checkStarvedRoutes(c *counts) (wrong []string) {
	all := c.total()
	for _, k := range c.sorted() {
		if k.asked >= minRouteRequests && k.share() < all.share()/starvedFactor {
			wrong = append(wrong, fmt.Sprintf("%s served %d of %d, all kinds %d of %d", k.route.Name, k.served, k.asked, all.served, all.asked))
		}
	}
	return wrong
}

// checkStarvedSubjects counts the subjects that were asked for through the scenario and never served.
func checkStarvedSubjects(c *counts) []string {
	asked, starved, chance := 0, 0, 0.0
	missed := 1 - c.servedShare()
	for _, s := range c.subjects {
		if s.asked < minSubjectRequests || s.last.Sub(s.first) < subjectSpan {
			continue
		}
		asked++
		chance += math.Pow(missed, float64(s.asked))
		if s.served == 0 {
			starved++
		}
	}
	if float64(starved) <= subjectFree+subjectFreePer*float64(asked)+subjectChance*chance {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d subjects were never served", starved, asked)}
}

// checkUrgency compares kinds of request of one service: a more urgent one must not be served less often than a less urgent one.
func checkUrgency(c *counts) (wrong []string) {
	kinds := c.sorted()
	for _, urgent := range kinds {
		for _, other := range kinds {
			if urgent.route.Service != other.route.Service || urgent.route.Priority >= other.route.Priority {
				continue
			}
			if urgent.asked < minRouteRequests || other.asked < minRouteRequests {
				continue
			}
			if urgent.share() < other.share()-urgencyGap {
				wrong = append(wrong, fmt.Sprintf("%s served %d of %d, the less urgent %s %d of %d", urgent.route.Name, urgent.served, urgent.asked, other.route.Name, other.served, other.asked))
			}
		}
	}
	return wrong
}
