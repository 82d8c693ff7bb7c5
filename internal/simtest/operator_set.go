package simtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
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
	zone               zoneState            // as it was ordered last
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

// zoneState is whether a zone is evacuated.
type zoneState string

// The states of a zone.
const (
	zoneUnknown   zoneState = "unknown" // the last order got no clear answer
	zoneServing   zoneState = "serving"
	zoneEvacuated zoneState = "evacuated"
)

// operatorZone is the zone that is evacuated again and again.
const operatorZone = "c"

func newOperatorSet(sim *Simulation, nodes []string, from int) *operatorSet {
	return &operatorSet{
		sim:          sim,
		nodes:        nodes,
		newest:       from,
		accepted:     map[int]sentOrder{},
		acknowledged: map[sentOrder]bool{},
		rejected:     map[sentOrder]bool{},
		content:      map[int]string{},
		orders:       map[string]sentOrder{},
		calls:        map[int]int{},
		zone:         zoneServing,
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

// send sends a change once. A rejection must name the version that is current: none that is known to be past.
func (o *operatorSet) send(node string, change sentOrder) int {
	floor := o.newestKnown()
	status, text := o.sim.Send(node, change.order())
	o.count(status)
	if status != http.StatusPreconditionFailed {
		return status
	}
	current, err := currentVersion(text)
	if err != nil {
		o.sim.AddViolation(RuleConfig, "%s rejected a change without the current version: %s", node, text)
	} else if current < floor {
		o.sim.AddViolation(RuleConfig, "%s rejected a change because version %d is current, %d was known", node, current, floor)
	}
	return status
}

// currentVersion reads the version that a rejection names.
func currentVersion(answer string) (current int, err error) {
	_, text, _ := strings.Cut(answer, "version ")
	_, err = fmt.Sscanf(text, "%d is current", &current)
	return current, err
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

// count counts an answer by its status.
func (o *operatorSet) count(status int) {
	o.mu.Lock()
	o.calls[status]++
	o.mu.Unlock()
}

// evacuations orders one zone evacuated and taken back by turns.
func (o *operatorSet) evacuations(r *rand.Rand) {
	for time.Now().Before(o.until) {
		o.evacuationOrder(r, "POST", zoneEvacuated)
		time.Sleep(1500 * time.Millisecond)
		o.evacuationOrder(r, "DELETE", zoneServing)
		time.Sleep(500 * time.Millisecond)
	}
}

func (o *operatorSet) evacuationOrder(r *rand.Rand, method string, becomes zoneState) {
	start := time.Now()
	end := start.Add(4 * time.Second)
	pause := 50 * time.Millisecond
	acked := false
	for !acked && time.Now().Before(end) {
		status, _ := o.sim.Send(o.nodes[r.IntN(len(o.nodes))], order{method: method, path: evacuationPath + operatorZone})
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
	o.zone = zoneUnknown
	if acked {
		o.zone = becomes
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
