package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// maxViolations is how many violations of each rule are kept in words.
const maxViolations = 8

// Rule names what a run is held against.
type Rule string

// The rules.
const (
	RuleMixed       Rule = "MIXED"         // a success that is not the replica's complete answer to this request
	RuleUnasked     Rule = "UNASKED"       // a replica got what no client sent, or something changed
	RuleTwice       Rule = "TWICE"         // a request that may run once ran again
	RuleRefused     Rule = "REFUSED"       // a request that may run once was rejected, and ran
	RuleDenied      Rule = "DENIED"        // a proper request was answered with a 4xx of the router's own
	RuleOrder       Rule = "ORDER"         // events of a stream are missing, doubled or out of order
	RuleNoAnswer    Rule = "NO-ANSWER"     // a router without trouble ended a connection without an answer
	RuleHang        Rule = "HANG"          // a router without trouble did not answer in time
	RuleIdle        Rule = "IDLE"          // a connection that rested within the idle limit is gone
	RuleBudget      Rule = "BUDGET"        // a replica was handed more time than was left
	RuleGone        Rule = "GONE"          // requests reached replicas long after their clients had left
	RuleConfig      Rule = "CONFIG"        // the calls of the operators don't fit one register
	RuleRepeat      Rule = "CONFIG-REPEAT" // an acknowledged change was sent again and rejected
	RuleApply       Rule = "CONFIG-APPLY"  // a route was not served in a calm time after its acknowledgement
	RuleBack        Rule = "CONFIG-BACK"   // a router went back to an older configuration
	RuleTally       Rule = "TALLY"         // a tally reads more than could have counted, or lacks what was acknowledged
	RuleEnded       Rule = "ENDED"         // a process ended by itself
	RuleMemory      Rule = "MEMORY"        // a process had more resident memory than its settings grant
	RuleInvariant   Rule = "INVARIANT"     // a process found an invariant violated, or panicked
	RuleRecover     Rule = "RECOVER"       // no service long after the last fault
	RuleGraceMissed Rule = "GRACE"         // a process did not end within its grace
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the start of the run
	Detail string
}

// String gives the violation as it is reported.
func (v Violation) String() string {
	return fmt.Sprintf("%7.2f s %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// sentAttempt is what is known of one attempt of a client.
type sentAttempt struct {
	unsafe   bool   // it may run once only
	content  string // method, target and digest of the body
	runs     int
	seals    map[string]bool
	rejected int // the status of a rejection; 0: none
	leftAt   time.Time

	withoutEnd bool // a replica sent bytes without end for it
}

// judge collects what clients, replicas and operators see.
type judge struct {
	start time.Time

	mu         sync.Mutex
	attempts   map[string]*sentAttempt
	violations []Violation
	counts     map[Rule]int
	outcomes   map[string]int
}

func newJudge() *judge {
	return &judge{start: time.Now(), attempts: map[string]*sentAttempt{}, counts: map[Rule]int{}, outcomes: map[string]int{}}
}

// add records a violation.
func (j *judge) add(rule Rule, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addLocked(rule, format, arguments...)
}

func (j *judge) addLocked(rule Rule, format string, arguments ...any) {
	j.counts[rule]++
	if j.counts[rule] <= maxViolations {
		j.violations = append(j.violations, Violation{rule, time.Since(j.start), fmt.Sprintf(format, arguments...)})
	}
}

// count counts something that is reported and breaks no rule.
func (j *judge) count(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[what]++
}

// counted is how often something was counted.
func (j *judge) counted(what string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcomes[what]
}

// sent records an attempt before it leaves its client.
func (j *judge) sent(id string, unsafe bool, content string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[id] = &sentAttempt{unsafe: unsafe, content: content, seals: map[string]bool{}}
}

// left records that a client closed its connection before its answer.
func (j *judge) left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[id].leftAt = time.Now()
}

// goneSlack is how long after its client has left a request may still reach a replica.
const goneSlack = 500 * time.Millisecond

// arrived records that a replica begins to run an attempt, and the seal of its answer.
func (j *judge) arrived(id, content, seal string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	attempt := j.attempts[id]
	if attempt == nil {
		j.addLocked(RuleUnasked, "nobody sent %q", id)
		return
	}
	if attempt.content != content {
		j.addLocked(RuleUnasked, "%s came as %q, was sent as %q", id, content, attempt.content)
	}
	attempt.runs++
	attempt.seals[seal] = true
	if attempt.unsafe && attempt.runs > 1 {
		j.addLocked(RuleTwice, "%s ran %d times", id, attempt.runs)
	}
	if !attempt.leftAt.IsZero() && time.Since(attempt.leftAt) > goneSlack {
		j.outcomes["arrived after the client had left"]++
	}
}

// answeredWithoutEnd records that a replica sends bytes without end for an attempt: what its client gets may be cut off.
func (j *judge) answeredWithoutEnd(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes["answered without end"]++
	if attempt := j.attempts[id]; attempt != nil {
		attempt.withoutEnd = true
	}
}

// isWithoutEnd reports whether a replica sent bytes without end for an attempt.
func (j *judge) isWithoutEnd(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts[id].withoutEnd
}

// succeeded checks a success against what replicas answered.
func (j *judge) succeeded(id, seal string, bodyRight bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if attempt := j.attempts[id]; !attempt.seals[seal] || !bodyRight {
		j.addLocked(RuleMixed, "%s got an answer that no replica gave (seal %q, body right: %v)", id, seal, bodyRight)
	}
}

// rejected records an answer that promises that an attempt never runs.
func (j *judge) rejected(id string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[id].rejected = status
}

// goneAllowed is how many requests may reach replicas long after their clients have left.
const goneAllowed = 3

// finish checks what only the end shows.
func (j *judge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, attempt := range j.attempts {
		if attempt.unsafe && attempt.rejected != 0 && attempt.runs > 0 {
			j.addLocked(RuleRefused, "%s was answered %d and ran", id, attempt.rejected)
		}
	}
	if late := j.outcomes["arrived after the client had left"]; late > goneAllowed {
		j.addLocked(RuleGone, "%d requests reached replicas over %v after their clients had left", late, goneSlack)
	}
}

// summary lists the outcomes in order.
func (j *judge) summary() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var lines []string
	for what, count := range j.outcomes {
		lines = append(lines, fmt.Sprintf("%s: %d", what, count))
	}
	sort.Strings(lines)
	return lines
}
