package simtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

// operatorSet are several operators that change the configuration at once, repeat what got no clear answer, repeat
// at times what did get one, and judge all clear answers as those of one register.
type operatorSet struct {
	sim   *Simulation
	nodes []string
	until time.Time
	pause time.Duration // the longest between two calls of one operator

	mu                 sync.Mutex
	newest             int               // the newest version that a clear answer spoke of
	accepted           map[int]sentOrder // by the version built on: the change that was acknowledged
	acknowledged       map[sentOrder]bool
	rejected           map[sentOrder]bool
	content            map[int]string       // by version: what was read
	orders             map[string]sentOrder // by the mark in the body's route
	marks              int                  // marks given out
	calls              map[int]int          // answers by status
	evacuationOutcomes []evacuationOutcome  // of the evacuations that were sent
	zoneEvacuated      string               // "yes", "no", or "" if unknown: whether the zone is evacuated
}

// sentOrder is one change: how it is sent, the version that it builds on and its body.
type sentOrder struct {
	method string
	base   int
	body   string
}

type evacuationOutcome struct {
	acknowledged bool
	took         time.Duration
}

// operatorZone is the zone that is evacuated again and again.
const operatorZone = "c"

func newOperatorSet(sim *Simulation, nodes []string, from int) *operatorSet {
	return &operatorSet{
		sim:           sim,
		nodes:         nodes,
		newest:        from,
		accepted:      map[int]sentOrder{},
		acknowledged:  map[sentOrder]bool{},
		rejected:      map[sentOrder]bool{},
		content:       map[int]string{},
		orders:        map[string]sentOrder{},
		calls:         map[int]int{},
		zoneEvacuated: "no",
	}
}

// run lets n operators work until their time is over.
func (o *operatorSet) run(n int, seed uint64) {
	var all sync.WaitGroup
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(o.until) {
				if r.IntN(4) == 0 {
					o.read(o.nodes[r.IntN(len(o.nodes))])
				} else {
					o.change(r)
				}
				time.Sleep(time.Duration(r.Int64N(int64(o.pause))))
			}
		}()
	}
	all.Add(1)
	go func() {
		defer all.Done()
		o.evacuations(rand.New(rand.NewPCG(seed, 99)))
	}()
	all.Wait()
}

func (o *operatorSet) newestKnown() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// read reads the configuration at one node and judges what comes.
func (o *operatorSet) read(node string) bool {
	floor := o.newestKnown()
	status, body := o.sim.Send(node, "GET", "/v1/config", "", "")
	o.count(status)
	if status != 200 {
		if status == 404 {
			o.sim.AddViolation(RuleConfig, "%s says that there is none, version %d is known", node, floor)
		}
		return false
	}
	var got struct {
		Revision int `json:"revision"`
		Routes   []struct {
			Name string `json:"name"`
			Mark string `json:"x_mark"`
		} `json:"route_table"`
	}
	_ = json.Unmarshal([]byte(body), &got)
	mark := ""
	for _, route := range got.Routes {
		if route.Name == "r-op" {
			mark = route.Mark
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if got.Revision < floor {
		o.sim.AddViolation(RuleConfig, "%s read version %d after %d was known", node, got.Revision, floor)
	}
	if was, known := o.content[got.Revision]; known && was != mark {
		o.sim.AddViolation(RuleConfig, "version %d was read as %q and as %q", got.Revision, was, mark)
	}
	if o.rejected[o.orders[mark]] {
		o.sim.AddViolation(RuleConfig, "version %d is in force, which was rejected", got.Revision)
	}
	o.content[got.Revision] = mark
	o.newest = max(o.newest, got.Revision)
	return true
}

// change sends one change until it has a clear answer, and at times once more after that.
func (o *operatorSet) change(r *rand.Rand) {
	o.mu.Lock()
	order := o.compose(r)
	o.mu.Unlock()
	end := time.Now().Add(6 * time.Second)
	pause := 50 * time.Millisecond
	again := 1 + r.IntN(3)/2 // an acknowledgement is lost at times
	for time.Now().Before(end) {
		sent := order
		if r.IntN(3) == 0 {
			sent.body = strings.ReplaceAll(sent.body, ",", " ,\n ")
		}
		status := o.send(o.nodes[r.IntN(len(o.nodes))], sent)
		if o.judge(order, status) {
			if again--; again == 0 || status != 200 {
				return
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
}

// send sends a change once. A rejection names the version that is current: it must be none that is known to be past.
func (o *operatorSet) send(node string, order sentOrder) int {
	floor := o.newestKnown()
	status, text := o.sim.Send(node, order.method, "/v1/config", fmt.Sprint(order.base), order.body)
	o.count(status)
	var current int
	if at := strings.Index(text, "version "); status == 412 && at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "version %d is current", &current)
		if current < floor {
			o.sim.AddViolation(RuleConfig, "%s rejected a change because version %d is current, %d was known", node, current, floor)
		}
	}
	return status
}

// press reads at one node many times a second, and sends it changes that must be rejected, without waiting for
// the answers. It writes nothing: a primary that can't write notices sooner that it is cut off.
func (o *operatorSet) press(node string, d time.Duration) {
	var all sync.WaitGroup
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		all.Add(1)
		go func() {
			defer all.Done()
			if i%2 == 0 {
				o.read(node)
				return
			}
			order := sentOrder{"PATCH", 1, `{"revision":2,"upsert":{}}`} // on a version that never was
			o.judge(order, o.send(node, order))
		}()
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
}

// markedRoute is the route by which a version tells which change made it.
const markedRoute = `{"name":"r-op","hostname":"h.example","path_prefix":"/op/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":400,"backend_pool":"svc","max_attempts":2,"x_mark":%q}`

// compose makes a change on the newest version known, at times on one that is old, with the same content as
// another's, or with the same number as another's. The caller holds the lock.
func (o *operatorSet) compose(r *rand.Rand) sentOrder {
	base := o.newest
	if r.IntN(8) == 0 {
		base = max(1, base-1-r.IntN(3))
	}
	mark := fmt.Sprint("m", o.marks)
	if r.IntN(8) != 0 || o.marks == 0 {
		mark = o.newMark()
	}
	method, revision := "PATCH", base+1+r.IntN(2)
	if r.IntN(4) == 0 {
		method = "PUT"
	}
	order := orderOf(method, base, revision, mark)
	if old, known := o.orders[mark]; known && old != order { // its mark is another order's
		mark = o.newMark()
		order = orderOf(method, base, revision, mark)
	}
	o.orders[mark] = order
	return order
}

func (o *operatorSet) newMark() string {
	o.marks++
	return fmt.Sprint("m", o.marks)
}

func orderOf(method string, base, revision int, mark string) sentOrder {
	route := fmt.Sprintf(markedRoute, mark)
	if method == "PUT" {
		complete := strings.Replace(configurationAt(revision, "", ""), `"route_table":[`, `"route_table":[`+route+",", 1)
		return sentOrder{method, base, complete}
	}
	return sentOrder{method, base, fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s]}}`, revision, route)}
}

// judge holds an answer to a change against all others; it reports whether it was clear.
func (o *operatorSet) judge(order sentOrder, status int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch status {
	case 200:
		o.judgeAccepted(order)
		return true
	case 400, 412:
		if o.acknowledged[order] {
			o.sim.AddViolation(RuleConfig, "a change on %d was acknowledged, sent again and answered %d", order.base, status)
		}
		o.rejected[order] = true
		return true
	case 0, 307, 503, 502, 504:
		return false
	}
	o.sim.AddViolation(RuleConfig, "a change on %d was answered %d", order.base, status)
	return true
}

func (o *operatorSet) judgeAccepted(order sentOrder) {
	if other, known := o.accepted[order.base]; known && other != order {
		o.sim.AddViolation(RuleConfig, "two changes on %d were acknowledged", order.base)
	}
	if o.rejected[order] {
		o.sim.AddViolation(RuleConfig, "a change on %d was rejected and acknowledged", order.base)
	}
	o.accepted[order.base] = order
	o.acknowledged[order] = true
	o.newest = max(o.newest, order.revision())
}

// revision is the version that the change leads to.
func (order sentOrder) revision() int {
	var read struct {
		Revision int `json:"revision"`
	}
	_ = json.Unmarshal([]byte(order.body), &read)
	return read.Revision
}

func (o *operatorSet) count(status int) {
	o.mu.Lock()
	o.calls[status]++
	o.mu.Unlock()
}

// evacuations orders one zone evacuated and taken back by turns.
func (o *operatorSet) evacuations(r *rand.Rand) {
	path := "/v1/evacuation/" + operatorZone
	for time.Now().Before(o.until) {
		o.evacuationOrder(r, "POST", path, "yes")
		time.Sleep(1500 * time.Millisecond)
		o.evacuationOrder(r, "DELETE", path, "no")
		time.Sleep(500 * time.Millisecond)
	}
}

func (o *operatorSet) evacuationOrder(r *rand.Rand, method, path, becomes string) {
	start := time.Now()
	end := start.Add(4 * time.Second)
	pause := 50 * time.Millisecond
	acked := false
	for !acked && time.Now().Before(end) {
		status, _ := o.sim.Send(o.nodes[r.IntN(len(o.nodes))], method, path, "", "")
		o.count(status)
		acked = status == 200
		if status >= 400 && status < 500 {
			o.sim.AddViolation(RuleEvacuation, "%s was answered %d", method, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuationOutcomes = append(o.evacuationOutcomes, evacuationOutcome{acked, time.Since(start)})
	o.zoneEvacuated = ""
	if acked {
		o.zoneEvacuated = becomes
	}
}

// judgeEnd judges the end: all nodes that answer read the same, nothing was rejected wrongly, and the routers go by it.
func (o *operatorSet) judgeEnd() error {
	deadline := time.Now().Add(5 * time.Second)
	for {
		some := false
		for _, node := range o.nodes {
			some = o.read(node) || some
		}
		if some {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("nothing can be read")
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for order := range o.rejected {
		if order.base == o.newest {
			return fmt.Errorf("a change on version %d was rejected, and that is the newest", order.base)
		}
	}
	for base, order := range o.accepted {
		if order.revision() > o.newest || base >= o.newest {
			return fmt.Errorf("version %d was acknowledged, %d is the newest", order.revision(), o.newest)
		}
	}
	return o.followersAgree()
}

// followersAgree waits until all living routers have the newest version and the zone as it was ordered last.
func (o *operatorSet) followersAgree() error {
	deadline := time.Now().Add(3 * time.Second)
	for {
		wrong := ""
		for name, p := range o.sim.processes {
			if p.router == nil || p.incarnation == nil || p.incarnation.dead.Load() {
				continue
			}
			revision, evacuated := p.router.InForce()
			down := fmt.Sprint(map[bool]string{true: "yes", false: "no"}[evacuated[operatorZone]])
			if int(revision) != o.newest || o.zoneEvacuated != "" && down != o.zoneEvacuated {
				wrong = fmt.Sprintf("%s holds version %d, zone evacuated: %s; ordered %d, %s", name, revision, down, o.newest, o.zoneEvacuated)
			}
		}
		if wrong == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s", wrong)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// report says what happened, for the log.
func (o *operatorSet) report() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var statuses []int
	for status := range o.calls {
		statuses = append(statuses, status)
	}
	sort.Ints(statuses)
	text := fmt.Sprintf("%d changes accepted, %d rejected; answers", len(o.accepted), len(o.rejected))
	for _, status := range statuses {
		text += fmt.Sprintf(" %d: %d", status, o.calls[status])
	}
	lost, worst := 0, time.Duration(0)
	for _, e := range o.evacuationOutcomes {
		if !e.acknowledged {
			lost++
		}
		worst = max(worst, e.took)
	}
	return text + fmt.Sprintf("; evacuation orders %d, unacknowledged %d, slowest %v", len(o.evacuationOutcomes), lost, worst)
}
