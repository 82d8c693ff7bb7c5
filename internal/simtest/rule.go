package simtest

import "fmt"

// Rule names a rule or a price that a scenario is held against.
type Rule string

// The rules. Breaking one fails the scenario.
const (
	RuleMixed              Rule = "MIXED"              // an answer that is not the replica's complete answer to this request
	RuleMixedFailure       Rule = "MIXED-FAILURE"      // a failure bears a replica's seal and another status than it gave
	RuleUnsolicited        Rule = "UNASKED"            // a replica runs what no client sent, or something changed
	RuleRunsOnce           Rule = "TWICE"              // a request that may run once runs again
	RuleRejected           Rule = "REFUSED"            // a rejection is given for a request that ran
	RuleTimeBudget         Rule = "TIME-BUDGET"        // a request comes without the time that is left
	RuleRetryAfter         Rule = "RETRY-AFTER"        // a rejection doesn't say when to come back
	RuleAttempts           Rule = "BUDGET-ATTEMPTS"    // one attempt runs on more replicas than its route allows
	RuleDrain              Rule = "DRAIN"              // a request reaches a replica too long after the list showed it leaving
	RuleDrainKnown         Rule = "DRAIN-KNOWN"        // a router sends to a replica of which it knows that it is leaving
	RuleHome               Rule = "HOME"               // a request leaves its regions
	RuleEvacuation         Rule = "EVAC"               // a request reaches a zone too long after its evacuation
	RuleFailback           Rule = "FAILBACK"           // a cold replica gets more than it bears
	RuleSplit              Rule = "SPLIT"              // an affinity key goes to two services
	RuleLost               Rule = "LOST"               // a connection ends without an answer beside planned work
	RuleConfig             Rule = "CONFIG"             // clear answers to several operators don't fit one register
	RuleRedirect           Rule = "REDIRECT"           // a call is sent in a circle
	RuleRepeatRejected     Rule = "CONFIG-REPEAT"      // a change that was acknowledged is sent again and rejected
	RuleLaterRoutes        Rule = "CONFIG-LATER"       // routes that were added later are served far less often
	RuleStarvedRoute       Rule = "STARVED-KIND"       // a kind of request is served far less often than all
	RuleStarved            Rule = "STARVED"            // subjects that are asked for through the scenario are never served
	RuleIdle               Rule = "IDLE"               // a connection that rested within the limit is gone
	RuleInvariant          Rule = "INVARIANT"          // a process found one of its own invariants violated
	PriceUrgency           Rule = "PRICE-URGENCY"      // a more urgent kind of request is served less often than a less urgent one
	PriceEvacuation        Rule = "PRICE-EVACUATION"   // an evacuation waits over a second in a calm time
	PriceHeld              Rule = "PRICE-HELD"         // a request is held past its route's timeout
	PriceUnoffered         Rule = "PRICE-UNOFFERED"    // a request is held for half of its time and never offered to a replica
	PriceNeedlessRejection Rule = "PRICE-FREE-REFUSAL" // a request is rejected while its replicas have free capacity
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String gives the violation as it is reported.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// AddViolation notes a broken rule.
func (sim *Simulation) AddViolation(rule Rule, format string, a ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.addViolationLocked(rule, fmt.Sprintf(format, a...))
}

// addViolationLocked notes a broken rule, unless the scenario has declared that it pays this price; the caller holds the simulation's lock.
func (sim *Simulation) addViolationLocked(rule Rule, detail string) {
	if !sim.acceptedPrices[rule] {
		sim.violations = append(sim.violations, Violation{rule, detail})
	}
}
