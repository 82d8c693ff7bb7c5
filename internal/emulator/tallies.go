package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/counter/countertest"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// TallySpec makes applications add to tallies at the controllers, each at those of its own zone first.
type TallySpec struct {
	PerS  float64 `yaml:"per_s"` // additions a second of all zones
	Names int     `yaml:"names"` // different tallies
}

const (
	tallySampleInterval = 100 * time.Millisecond
	tallyCallTimeout    = 1 * time.Second // an application moves on after it
	tallyMergeTimeout   = 5 * time.Second // both sides must have the same totals by then
	maxTallyAmount      = 9
)

// TallySample is what both sides read at a moment, summed over all tallies.
type TallySample struct {
	AtS          float64 `json:"at_s"`
	CutOff       uint64  `json:"cut_off"`      // at a controller of the zone that is cut off
	Others       uint64  `json:"others"`       // at a controller of another zone
	Acknowledged uint64  `json:"acknowledged"` // sum of what was acknowledged so far
}

// TallySummary sums up the additions to tallies.
type TallySummary struct {
	Acknowledged int     `json:"acknowledged"`
	Rejected     int     `json:"rejected"` // nothing was done
	Unclear      int     `json:"unclear"`  // may count
	MergeMs      float64 `json:"merge_ms"` // from the end of the partition until both sides had all that was acknowledged before it
	Merged       bool    `json:"merged"`   // at the end all controllers have the same totals
}

// tallyLoad is the applications and what they saw.
type tallyLoad struct {
	bed     *testbed
	report  *report
	spec    *TallySpec
	history *countertest.History
	random  *rand.Rand
	start   time.Time

	mu       sync.Mutex // guards the following
	sum      uint64     // of what was acknowledged
	summary  TallySummary
	samples  []TallySample
	awaiting uint64 // the sum at the end of the partition; 0: it has not ended, or was merged
	healedAt time.Time
}

func newTallyLoad(bed *testbed, report *report) *tallyLoad {
	return &tallyLoad{
		bed:     bed,
		report:  report,
		spec:    bed.experiment.Tallies,
		history: countertest.NewHistory(countertest.Bounds{Merge: tallyMergeTimeout, Detection: tallyCallTimeout}),
		random:  rand.New(rand.NewPCG(bed.experiment.Seed, 2)),
		start:   time.Now(),
	}
}

// run adds and samples until the context ends, and then waits for the merge.
func (l *tallyLoad) run(ctx context.Context) {
	var calls sync.WaitGroup
	sampling, stopSampling := context.WithCancel(l.bed.ctx)
	defer stopSampling()
	calls.Go(func() {
		wait.Every(sampling, tallySampleInterval, func() bool { l.sample(); return true })
	})
	number := 0
	wait.Every(ctx, durations.FromSeconds(1/l.spec.PerS), func() bool {
		number++
		zone := l.bed.zone(l.random.IntN(len(l.bed.experiment.Fleet.Zones)))
		addition := l.history.Begin(tallyName(number%l.spec.Names), fmt.Sprint(number), 1+l.random.Uint64N(maxTallyAmount))
		calls.Go(func() { l.add(zone, addition) })
		return true
	})
	l.awaitMerge()
	stopSampling()
	calls.Wait()
}

func tallyName(number int) string { return fmt.Sprintf("t%d", number) }

// controllersFor are the controllers that an application of a zone can reach now, those of its zone first.
func (l *tallyLoad) controllersFor(zone string) []*daemon {
	var near, far []*daemon
	for _, controller := range l.bed.controllers {
		switch {
		case controller.zone == zone:
			near = append(near, controller)
		case !l.bed.partition.separates(zone, controller.zone):
			far = append(far, controller)
		}
	}
	return append(near, far...)
}

// add makes one addition, at one controller after the other until it is acknowledged.
func (l *tallyLoad) add(zone string, addition *countertest.Addition) {
	body := fmt.Appendf(nil, `{"replica_id":%q,"actor":%d}`, addition.ID, addition.Amount)
	outcome := &l.summary.Rejected
	for _, controller := range l.controllersFor(zone) {
		rejected := l.history.Call(addition)
		status, _ := l.call(http.MethodPost, controller, addition.Counter, body)
		switch status {
		case http.StatusOK:
			l.history.Acknowledge(addition, countertest.Acknowledgement{At: time.Since(l.start), Member: controller.name})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.summary.Acknowledged++
			l.sum += addition.Amount
			return
		case http.StatusServiceUnavailable:
			rejected()
		default:
			outcome = &l.summary.Unclear
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	*outcome++
}

// call makes one call on a tally; status 0 is no answer.
func (l *tallyLoad) call(method string, controller *daemon, name string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(l.bed.ctx, tallyCallTimeout)
	defer cancel()
	url := "http://" + l.bed.addresses.address(controller.ip, portControl) + "/v1/tallies/" + name
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := probes.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// totals reads all tallies at one controller; false if one was not answered. What could not have counted is a violation.
func (l *tallyLoad) totals(controller *daemon) (sum uint64, known bool) {
	for number := range l.spec.Names {
		name := tallyName(number)
		status, answer := l.call(http.MethodGet, controller, name, nil)
		var page struct {
			Total uint64 `json:"total"`
		}
		if status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
			return 0, false
		}
		if _, most := l.history.MergedLimits(name); page.Total > most {
			l.bed.rules.recordTally("%s reads %d of %s, %d could have counted", controller.name, page.Total, name, most)
		}
		sum += page.Total
	}
	return sum, true
}

// sides are a controller of the zone that the experiment cuts off, or the first one, and one of another zone.
func (l *tallyLoad) sides() (cutOff, other *daemon) {
	cutOff = l.bed.controllers[0]
	if spec := l.bed.experiment.Partition; spec != nil {
		for _, controller := range l.bed.controllers {
			if controller.zone == spec.Zone {
				cutOff = controller
				break
			}
		}
	}
	other = cutOff
	for _, controller := range l.bed.controllers {
		if controller.zone != cutOff.zone {
			return cutOff, controller
		}
	}
	return cutOff, other
}

// sample reads both sides, and notes when the merge has ended.
func (l *tallyLoad) sample() {
	l.mu.Lock()
	acknowledged := l.sum
	l.mu.Unlock()
	cutOff, other := l.sides()
	cutOffTotal, known := l.totals(cutOff)
	othersTotal, othersKnown := l.totals(other)
	if !known || !othersKnown {
		return
	}
	sample := TallySample{AtS: time.Since(l.start).Seconds(), CutOff: cutOffTotal, Others: othersTotal, Acknowledged: acknowledged}
	l.report.recordTallies(sample)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample)
	if l.awaiting > 0 && min(cutOffTotal, othersTotal) >= l.awaiting {
		l.summary.MergeMs = milliseconds(time.Since(l.healedAt))
		l.awaiting = 0
	}
}

// healed notes the end of the partition.
func (l *tallyLoad) healed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaiting, l.healedAt = l.sum, time.Now()
}

// awaitMerge waits until every controller reads all that is owed, and judges the end.
func (l *tallyLoad) awaitMerge() {
	end := time.Now().Add(tallyMergeTimeout)
	merged := false
	for !merged && time.Now().Before(end) && wait.Sleep(l.bed.ctx, tallySampleInterval) {
		merged = l.isMerged()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Merged = merged
	if !merged && l.bed.ctx.Err() == nil {
		l.bed.rules.recordTally("at the end not every controller has all that was acknowledged")
	}
}

func (l *tallyLoad) isMerged() bool {
	var owed uint64
	for number := range l.spec.Names {
		least, _ := l.history.MergedLimits(tallyName(number))
		owed += least
	}
	for _, controller := range l.bed.controllers {
		if total, known := l.totals(controller); !known || total < owed {
			return false
		}
	}
	return true
}

// result is the summary, and all samples.
func (l *tallyLoad) result() (*TallySummary, []TallySample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := l.summary
	return &summary, l.samples
}
