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

// orderPause is how long the operator waits before it asks the next node.
const orderPause = 100 * time.Millisecond

// clearBelow is the first status that leaves an order's fate open.
const clearBelow = 500

// evacuationWait is how long an evacuation may wait for its acknowledgement in a calm time.
const evacuationWait = time.Second

// order is one order of the operator as it is sent.
type order struct {
	method, path, ifMatch, body string
}

// changes tells whether an order is one on the configuration.
func (o order) changes() bool { return o.path == "/v1/config" && o.method != http.MethodGet }

// operator is what the judge knows of the operator's orders.
type operator struct {
	sent    int            // calls made so far
	lost    int            // in a hundred of the answers that get lost on their way
	newest  order          // the configuration order acknowledged last
	changed bool           // another one was sent since
	open    map[order]bool // orders without a clear answer so far
}

// Order makes one call of the operator on one node, following 307; status 0 is no clear answer.
func (w *World) Order(node, method, path, ifMatch, body string) (int, string) {
	o := order{method, path, ifMatch, body}
	repeated := w.orderSent(o)
	status, answer := w.call(node, o)
	if w.answerLost() {
		return 0, ""
	}
	w.orderAnswered(o, repeated, status)
	return status, answer
}

// call carries one order to a node.
func (w *World) call(node string, o order) (int, string) {
	at := "http://" + w.process(node).ip + ":82" + o.path
	sentTo := map[string]bool{}
	for range 3 {
		q, _ := http.NewRequest(o.method, at, strings.NewReader(o.body))
		if o.ifMatch != "" {
			q.Header.Set("If-Match", o.ifMatch)
		}
		c := w.client("10.8.0.2")
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
			w.Broke(RuleRedirect, "a call at %s %s", node, wrong)
		}
		sentTo[at] = true
	}
	return 0, ""
}

// checkRedirect holds the target of a 307 against those that the call was sent to before.
func checkRedirect(target string, before map[string]bool) string {
	if target == "" || before[target] {
		return fmt.Sprintf("was sent to %q again", target)
	}
	return ""
}

// orderSent notes an order before it goes; true if it repeats the newest acknowledged change and no other was sent since.
func (w *World) orderSent(o order) (repeated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operator.sent++
	if !o.changes() {
		return false
	}
	w.planned.configFrom = time.Now()
	w.operator.open[o] = true
	if o == w.operator.newest {
		return !w.operator.changed
	}
	w.operator.changed = true
	return false
}

// answerLost decides by its count whether an answer gets lost.
func (w *World) answerLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	draw := crc32.ChecksumIEEE([]byte(fmt.Sprint(w.operator.sent)))
	return int(draw%100) < w.operator.lost
}

// orderAnswered holds an answer against what was acknowledged before.
func (w *World) orderAnswered(o order, repeated bool, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.changes() {
		return
	}
	if status != 0 && status < clearBelow && !unclear(status) {
		delete(w.operator.open, o)
	}
	alone := !w.operator.changed && len(w.operator.open) == 0
	if wrong := checkRepeat(repeated && alone, status); wrong != "" {
		w.broke(RuleRepeatRefused, fmt.Sprintf("%s on %s %s", o.method, o.ifMatch, wrong))
	}
	if status == http.StatusOK {
		w.planned.configTill = time.Now().Add(configApply + time.Second)
		if o != w.operator.newest {
			w.operator.newest, w.operator.changed = o, false
			w.tookConfiguration(o.method, o.body)
		}
	}
}

// checkRepeat holds the answer to a repeated order that was acknowledged before: it may not be a refusal.
func checkRepeat(repeated bool, status int) string {
	if !repeated || status < http.StatusBadRequest || status >= clearBelow || unclear(status) {
		return ""
	}
	return fmt.Sprintf("was acknowledged, sent again and answered %d", status)
}

// unclear tells statuses after which the operator goes on to another node.
func unclear(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// Insist repeats an order on all nodes until a clear answer comes, at most d.
func (w *World) Insist(d time.Duration, method, path, ifMatch, body string) int {
	start := time.Now()
	end := start.Add(d)
	nodes := w.controllers()
	for i := 0; time.Now().Before(end); i++ {
		status, _ := w.Order(nodes[i%len(nodes)], method, path, ifMatch, body)
		if status != 0 && status < clearBelow && status != http.StatusTemporaryRedirect && !unclear(status) {
			w.judgeWait(path, start)
			return status
		}
		time.Sleep(orderPause)
	}
	w.judgeWait(path, start)
	return 0
}

// controllers names the controllers in order.
func (w *World) controllers() (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.procs {
		if isController(n) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// judgeWait holds the time that an evacuation waited for a clear answer.
func (w *World) judgeWait(path string, start time.Time) {
	if !strings.HasPrefix(path, "/v1/evacuation/") {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if wrong := checkWait(time.Since(start), w.calmSince(start)); wrong != "" {
		w.broke(PriceEvacuation, path+" "+wrong)
	}
}

// checkWait holds the time that an evacuation took.
func checkWait(took time.Duration, calm bool) string {
	if !calm || took <= evacuationWait {
		return ""
	}
	return fmt.Sprintf("waited %v for a clear answer", took)
}
