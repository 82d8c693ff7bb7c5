package simtest

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"
)

// orderRetryPause is how long the operator waits before it asks the next node.
const orderRetryPause = 100 * time.Millisecond

// firstUnclear is the first status that leaves an order's fate open.
const firstUnclear = 500

// evacuationWait is how long an evacuation may wait for its acknowledgement in a calm time.
const evacuationWait = time.Second

// Paths of the control interface.
const (
	configPath     = "/v1/config"
	evacuationPath = "/v1/evacuation/" // before a zone's name
)

// order is one order of the operator as it is sent.
type order struct {
	method, path, ifMatch, body string
}

// changes reports whether an order is one on the configuration.
func (o order) changes() bool { return o.path == configPath && o.method != http.MethodGet }

// operator is what the judge knows of the operator's orders.
type operator struct {
	sent    int            // calls made so far
	lost    int            // in a hundred of the answers that get lost on their way
	newest  order          // the configuration order acknowledged last
	changed bool           // another one was sent since
	open    map[order]bool // orders without a clear answer so far
}

// Send makes one call of the operator on one node, following 307; status 0 is no clear answer.
func (sim *Simulation) Send(node string, o order) (status int, answer string) {
	repeated := sim.recordSent(o)
	status, answer = sim.sendOnce(node, o)
	if sim.isAnswerLost() {
		return 0, ""
	}
	sim.recordAnswer(o, repeated, status)
	return status, answer
}

// sendOnce carries one order to a node.
func (sim *Simulation) sendOnce(node string, o order) (int, string) {
	at := "http://" + sim.process(node).ip + ":82" + o.path
	sentTo := map[string]bool{}
	for range 3 {
		q, _ := http.NewRequest(o.method, at, strings.NewReader(o.body))
		if o.ifMatch != "" {
			q.Header.Set("If-Match", o.ifMatch)
		}
		c := sim.client("10.8.0.2")
		c.Timeout = time.Second
		a, err := c.Do(q)
		if err != nil {
			return 0, ""
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil {
			return 0, ""
		}
		if a.StatusCode != http.StatusTemporaryRedirect {
			return a.StatusCode, string(b)
		}
		at = a.Header.Get("Location")
		if wrong := checkRedirect(at, sentTo); wrong != "" {
			sim.AddViolation(RuleRedirect, "a call at %s %s", node, wrong)
		}
		sentTo[at] = true
	}
	return 0, ""
}

// checkRedirect checks the target of a 307 against those that the call was sent to before.
func checkRedirect(target string, before map[string]bool) string {
	if target == "" || before[target] {
		return fmt.Sprintf("was sent to %q again", target)
	}
	return ""
}

// recordSent notes an order before it goes; true if it repeats the newest acknowledged change and no other was sent since.
func (sim *Simulation) recordSent(o order) (repeated bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.operator.sent++
	if !o.changes() {
		return false
	}
	sim.planned.configFrom = time.Now()
	sim.operator.open[o] = true
	if o == sim.operator.newest {
		return !sim.operator.changed
	}
	sim.operator.changed = true
	return false
}

// isAnswerLost decides by its count whether an answer gets lost.
func (sim *Simulation) isAnswerLost() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	draw := crc32.ChecksumIEEE([]byte(fmt.Sprint(sim.operator.sent)))
	return int(draw%100) < sim.operator.lost
}

// recordAnswer checks an answer against what was acknowledged before.
func (sim *Simulation) recordAnswer(o order, repeated bool, status int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !o.changes() {
		return
	}
	if status != 0 && status < firstUnclear && !unclear(status) {
		delete(sim.operator.open, o)
	}
	nothingElseSent := !sim.operator.changed && len(sim.operator.open) == 0
	if wrong := checkRepeat(repeated && nothingElseSent, status); wrong != "" {
		sim.addViolationLocked(RuleRepeatRejected, fmt.Sprintf("%s on %s %s", o.method, o.ifMatch, wrong))
	}
	if status == http.StatusOK {
		sim.planned.configTill = time.Now().Add(configApply + time.Second)
		if o != sim.operator.newest {
			sim.operator.newest, sim.operator.changed = o, false
			sim.applyConfiguration(o.method, o.body)
		}
	}
}

// checkRepeat checks the answer to a repeated order that was acknowledged before: it must not be a rejection.
func checkRepeat(repeated bool, status int) string {
	if !repeated || status < http.StatusBadRequest || status >= firstUnclear || unclear(status) {
		return ""
	}
	return fmt.Sprintf("was acknowledged, sent again and answered %d", status)
}

// unclear tells statuses after which the operator goes on to another node.
func unclear(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// SendUntilClear repeats an order on all nodes until a clear answer comes, at most for a time; 0 if none came.
func (sim *Simulation) SendUntilClear(within time.Duration, o order) int {
	start := time.Now()
	end := start.Add(within)
	nodes := sim.controllers()
	for i := 0; time.Now().Before(end); i++ {
		status, _ := sim.Send(nodes[i%len(nodes)], o)
		if status != 0 && status < firstUnclear && status != http.StatusTemporaryRedirect && !unclear(status) {
			sim.judgeEvacuationWait(o.path, start)
			return status
		}
		time.Sleep(orderRetryPause)
	}
	sim.judgeEvacuationWait(o.path, start)
	return 0
}

// controllers names the controllers in order.
func (sim *Simulation) controllers() (names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for n := range sim.processes {
		if isController(n) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// judgeEvacuationWait checks the time that an evacuation waited for a clear answer.
func (sim *Simulation) judgeEvacuationWait(path string, start time.Time) {
	if !strings.HasPrefix(path, evacuationPath) {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if wrong := checkWait(time.Since(start), sim.isCalmSince(start)); wrong != "" {
		sim.addViolationLocked(PriceEvacuation, path+" "+wrong)
	}
}

// checkWait checks the time that an evacuation took.
func checkWait(took time.Duration, calm bool) string {
	if !calm || took <= evacuationWait {
		return ""
	}
	return fmt.Sprintf("waited %v for a clear answer", took)
}
