package emulator

import (
	"fmt"
	"sync"
)

// maxViolations is how many violations are kept in words.
const maxViolations = 20

// attempt is what the checker knows of one attempt of a client.
type attempt struct {
	once  bool   // it must not run more than once
	sent  string // method, target and body
	runs  int
	seals map[string]bool // of the answers that replicas gave
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

// violated records a violation; the caller holds the lock.
func (c *ruleChecker) violated(rule, format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// sent records an attempt before it leaves the client.
func (c *ruleChecker) sent(id string, once bool, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[id] = &attempt{once: once, sent: content, seals: map[string]bool{}}
}

// arrived records an attempt that reached the replica that it was meant for.
func (c *ruleChecker) arrived(id, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	switch {
	case attempt == nil:
		c.violated("UNASKED", "nobody sent %q", id)
	case attempt.sent != content:
		c.violated("UNASKED", "%s came changed", id)
	}
}

// ran records that a replica began to work on an attempt, and the seal of its
// answer.
func (c *ruleChecker) ran(id, seal string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		return
	}
	attempt.runs++
	attempt.seals[seal] = true
	if attempt.once && attempt.runs > 1 {
		c.violated("TWICE", "%s ran %d times", id, attempt.runs)
	}
}

// succeeded checks a client's good answer against what replicas answered.
func (c *ruleChecker) succeeded(id, seal string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil || !attempt.seals[seal] || !complete {
		c.violated("MIXED", "%s got an answer that no replica gave", id)
	}
}

// refused checks a promise that an attempt did not run.
func (c *ruleChecker) refused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt != nil && attempt.once && attempt.runs > 0 {
		c.violated("REFUSED", "%s was refused and ran", id)
	}
}

// outOfOrder records an event of a stream that is not the next one.
func (c *ruleChecker) outOfOrder(request, event string, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated("ORDER", "%s got %q after %d", request, event, received)
}

// result gives how many violations there were, and the first of them.
func (c *ruleChecker) result() (int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, append([]string{}, c.violations...)
}
