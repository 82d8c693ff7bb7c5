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
	onTheWay      = 10 * time.Millisecond // what was sent before its sender knew better
	coldSettle    = 2 * time.Second       // the bound for cold replicas counts from so long after their start
	coldMost      = 20*3/2 + 5            // warmup_per_s x cold_overshoot + cold_slack
)

// arrival is a request at a replica.
type arrival struct {
	w       *World
	replica *Replica
	http    *http.Request
	id      string
	body    string
	record  *request // nil if no client sent it
	sender  *Proc    // nil if it is none of our processes
	now     time.Time
}

// arrivalRule checks arrivals; a check returns what is wrong, or nothing. It is called with the world held.
type arrivalRule struct {
	rule  Rule
	check func(*arrival) string
}

var arrivalRules = []arrivalRule{
	{RuleUnasked, checkUnasked},
	{RuleDeadlineHead, checkDeadlineHead},
	{RuleHome, checkHome},
	{RuleSplit, checkSplit},
	{RuleDrain, checkDrain},
	{RuleDrainKnown, checkDrainKnown},
	{RuleEvacuation, checkEvacuation},
	{RuleFailback, checkFailback},
}

// arrived holds an arrival against the rules.
func (r *Replica) arrived(q *http.Request, id, body string) *arrival {
	w := r.w
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &arrival{w: w, replica: r, http: q, id: id, body: body, record: w.requests[id], sender: w.processAt(q.RemoteAddr), now: time.Now()}
	if a.record != nil {
		a.record.offered = true
	}
	for _, x := range arrivalRules {
		if wrong := x.check(a); wrong != "" {
			w.broke(x.rule, id+" "+wrong)
		}
	}
	return a
}

// processAt is the process at an address, nil if there is none; the caller holds the world.
func (w *World) processAt(ip string) *Proc {
	for _, p := range w.procs {
		if p.ip == ip {
			return p
		}
	}
	return nil
}

// ran notes that a replica has begun work on an arrival.
func (r *Replica) ran(a *arrival) {
	w := r.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.record == nil {
		return
	}
	a.record.runs++
	a.record.ranOn[r.ID] = true
	if wrong := checkTwice(a.record); wrong != "" {
		w.broke(RuleTwice, wrong)
	}
	if wrong := checkAttempts(a.record); wrong != "" {
		w.broke(RuleAttempts, wrong)
	}
}

func checkUnasked(a *arrival) string {
	if a.record == nil {
		return "was sent by nobody"
	}
	if a.record.wire != a.http.Method+" "+a.http.URL.RequestURI()+" "+a.body {
		return "came changed"
	}
	return ""
}

func checkDeadlineHead(a *arrival) string {
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
	was, again := a.w.keys[key]
	a.w.keys[key] = a.replica.pool
	if again && was != a.replica.pool {
		return fmt.Sprintf("of key %s went to %s and to %s", key, was, a.replica.pool)
	}
	return ""
}

func checkEvacuation(a *arrival) string {
	since := a.replica.evacAt
	if a.w.inTouchOnly && (a.sender == nil || !a.w.inTouch(a.sender, a.now)) {
		return ""
	}
	if !since.IsZero() && a.now.Sub(since) > evacuateBound {
		return "reached " + a.replica.ID + " in an evacuated zone"
	}
	return ""
}

func checkFailback(a *arrival) string {
	r := a.replica
	if r.cold <= 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldGot = append(r.coldGot, a.now)
	for len(r.coldGot) > 0 && a.now.Sub(r.coldGot[0]) > time.Second {
		r.coldGot = r.coldGot[1:]
	}
	if len(r.coldGot) > coldMost && a.now.Sub(r.since) > coldSettle {
		return fmt.Sprintf("is one of %d in a second at cold %s", len(r.coldGot), r.ID)
	}
	return ""
}
