package emulator

import (
	"fmt"
	"sync"
)

// maxViolations is how many violations are kept in words.
const maxViolations = 20

// attempt is what the checker knows of one attempt of a client.
type attempt struct {
	atMostOnce bool   // it must not run more than once
	sent       string // method, target and body
	runs       int
	seals      map[string]bool // of the answers that replicas gave
}

// ruleChecker checks what replicas and clients see against the rules.
type ruleChecker struct {
	mu         sync.Mutex
	attempts   map[string]*attempt // by id
	violations []string            // the first of them
	count      int
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{attempts: map[string]*attempt{}}
}

// addViolation records a violation; the caller holds the lock.
func (c *ruleChecker) addViolation(rule, format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// recordSent records an attempt before it leaves the client.
func (c *ruleChecker) recordSent(id string, once bool, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[id] = &attempt{atMostOnce: once, sent: content, seals: map[string]bool{}}
}

// recordArrival records an attempt that reached the replica that it was meant for.
func (c *ruleChecker) recordArrival(id, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	switch {
	case attempt == nil:
		c.addViolation("UNASKED", "nobody sent %q", id)
	case attempt.sent != content:
		c.addViolation("UNASKED", "%s came changed", id)
	}
}

// recordRun records that a replica began to work on an attempt, and the seal of its
// answer.
func (c *ruleChecker) recordRun(id, seal string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		return
	}
	attempt.runs++
	attempt.seals[seal] = true
	if attempt.atMostOnce && attempt.runs > 1 {
		c.addViolation("TWICE", "%s ran %d times", id, attempt.runs)
	}
}

// checkSuccess checks a client's good answer against what replicas answered.
func (c *ruleChecker) checkSuccess(id, seal string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil || !attempt.seals[seal] || !complete {
		c.addViolation("MIXED", "%s got an answer that no replica gave", id)
	}
}

// checkRejection checks an answer that says that an attempt did not run.
func (c *ruleChecker) checkRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt != nil && attempt.atMostOnce && attempt.runs > 0 {
		c.addViolation("REFUSED", "%s was rejected and ran", id)
	}
}

// recordOutOfOrder records an event of a stream that is not the next one.
func (c *ruleChecker) recordOutOfOrder(request, event string, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("ORDER", "%s got %q after %d", request, event, received)
}

// recordTally records a tally that reads what it must not.
func (c *ruleChecker) recordTally(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("TALLY", format, args...)
}

// result gives how many violations there were, and the first of them.
func (c *ruleChecker) result() (int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, append([]string{}, c.violations...)
}
