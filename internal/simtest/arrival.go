package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the rules on arrivals, as in the simulated settings.
const (
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	inFlight      = 10 * time.Millisecond // what was sent before its sender knew better
	warmupSettle  = 2 * time.Second       // the bound for cold replicas counts from so long after their start
	warmupLimit   = 20*3/2 + 5            // warmup_per_s x cold_overshoot + cold_slack
)

// arrival is a request at a replica.
type arrival struct {
	sim     *Simulation
	replica *Replica
	http    *http.Request
	id      string
	body    string
	record  *request // nil if no client sent it
	sender  *Process // nil if it is none of our processes
	now     time.Time
}

// arrivalRule checks arrivals; a check returns what is wrong, or nothing. It is called with the simulation's lock held.
type arrivalRule struct {
	rule  Rule
	check func(*arrival) string
}

var arrivalRules = []arrivalRule{
	{RuleUnsolicited, checkUnsolicited},
	{RuleTimeBudget, checkTimeBudget},
	{RuleHome, checkHome},
	{RuleSplit, checkSplit},
	{RuleDrain, checkDrain},
	{RuleDrainKnown, checkDrainKnown},
	{RuleEvacuation, checkEvacuation},
	{RuleFailback, checkFailback},
}

// judgeArrival checks an arrival against the rules.
func (r *Replica) judgeArrival(q *http.Request, id, body string) *arrival {
	sim := r.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	a := &arrival{sim: sim, replica: r, http: q, id: id, body: body, record: sim.requests[id], sender: sim.processAt(q.RemoteAddr), now: time.Now()}
	if a.record != nil {
		a.record.offered = true
	}
	for _, x := range arrivalRules {
		if wrong := x.check(a); wrong != "" {
			sim.addViolationLocked(x.rule, id+" "+wrong)
		}
	}
	return a
}

// processAt is the process at an address, nil if there is none; the caller holds the simulation's lock.
func (sim *Simulation) processAt(ip string) *Process {
	for _, p := range sim.processes {
		if p.ip == ip {
			return p
		}
	}
	return nil
}

// recordRun notes that a replica has begun work on an arrival.
func (r *Replica) recordRun(a *arrival) {
	sim := r.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if a.record == nil {
		return
	}
	a.record.runs++
	a.record.ranOn[r.ID] = true
	if wrong := checkRunsOnce(a.record); wrong != "" {
		sim.addViolationLocked(RuleRunsOnce, wrong)
	}
	if wrong := checkAttempts(a.record); wrong != "" {
		sim.addViolationLocked(RuleAttempts, wrong)
	}
}

func checkUnsolicited(a *arrival) string {
	if a.record == nil {
		return "was sent by nobody"
	}
	if a.record.content != a.http.Method+" "+a.http.URL.RequestURI()+" "+a.body {
		return "came changed"
	}
	return ""
}

func checkTimeBudget(a *arrival) string {
	if a.http.Header.Get("Time-Budget-Ms") == "" {
		return "came without what is left"
	}
	return ""
}

func checkHome(a *arrival) string {
	if strings.HasPrefix(a.http.URL.Path, "/h/") && a.replica.zone != "d" {
		return "reached " + a.replica.ID + " in another region"
	}
	return ""
}

func checkSplit(a *arrival) string {
	if !strings.HasPrefix(a.http.URL.Path, "/k/") {
		return ""
	}
	key, _, _ := strings.Cut(a.http.Header.Get("Prompt-Prefix"), ",")
	was, again := a.sim.keys[key]
	a.sim.keys[key] = a.replica.pool
	if again && was != a.replica.pool {
		return fmt.Sprintf("of key %s went to %s and to %s", key, was, a.replica.pool)
	}
	return ""
}

func checkEvacuation(a *arrival) string {
	since := a.replica.evacuatedAt
	if a.sim.connectedOnly && (a.sender == nil || !a.sim.isConnected(a.sender, a.now)) {
		return ""
	}
	if !since.IsZero() && a.now.Sub(since) > evacuateBound {
		return "reached " + a.replica.ID + " in an evacuated zone"
	}
	return ""
}

func checkFailback(a *arrival) string {
	r := a.replica
	if r.warmupLeftMs <= 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmupArrivals = append(r.warmupArrivals, a.now)
	for len(r.warmupArrivals) > 0 && a.now.Sub(r.warmupArrivals[0]) > time.Second {
		r.warmupArrivals = r.warmupArrivals[1:]
	}
	if len(r.warmupArrivals) > warmupLimit && a.now.Sub(r.since) > warmupSettle {
		return fmt.Sprintf("is one of %d in a second at cold %s", len(r.warmupArrivals), r.ID)
	}
	return ""
}
