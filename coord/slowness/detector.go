package slowness

import (
	"sort"
	"time"
)

// peerReport is what another node reported of itself.
type peerReport struct {
	slow bool
	step int // at which it was received
}

// Detector is the state of one process. It is a pure state machine: its time is
// the number of its steps.
type Detector struct {
	step          int
	samples       []float64 // of the work's time in ns, until there is a baseline
	baseline      float64   // usual time of the piece of work in ns; 0: not known yet
	badSteps      int       // steps in a row with evidence of slowness
	goodSteps     int       // healthy steps in a row
	slow          bool
	slowSince     int // the step at which it became slow
	refusingSteps int // steps in a row for which new connections have been refused
	peers         map[string]peerReport
}

// NewDetector returns a detector without observations.
func NewDetector() *Detector { return &Detector{peers: map[string]peerReport{}} }

// Step takes one observation: how long the piece of work took, and how late the
// timer before it fired. One is expected each Interval.
func (d *Detector) Step(work, late time.Duration) {
	d.step++
	d.expirePeers()
	duration := float64(work)
	bad := d.isBad(duration, late)
	d.count(bad, d.isGood(duration, late))
	d.decide()
	if !bad && !d.slow {
		d.learn(duration)
	}
	if d.slow && d.mostPeersHealthy() {
		d.refusingSteps++
	} else {
		d.refusingSteps = 0
	}
}

// expirePeers drops reports that are too old to count.
func (d *Detector) expirePeers() {
	for node, report := range d.peers {
		if d.step-report.step > peerReportSteps {
			delete(d.peers, node)
		}
	}
}

// isBad reports whether an observation is evidence of slowness.
func (d *Detector) isBad(duration float64, late time.Duration) bool {
	if late >= lateTimer {
		return true
	}
	return d.baseline > 0 && duration >= slowFactor*d.baseline
}

// isGood reports whether an observation counts as healthy. One between the bounds
// of isBad and isGood is neither.
func (d *Detector) isGood(duration float64, late time.Duration) bool {
	if d.baseline == 0 {
		return true
	}
	return duration < recoveredFactor*d.baseline && late < lateTimer/2
}

// count counts the steps in a row of the same kind.
func (d *Detector) count(bad, good bool) {
	switch {
	case bad:
		d.badSteps++
		d.goodSteps = 0
	case good:
		d.badSteps = 0
		d.goodSteps++
	default:
		d.badSteps = 0
		d.goodSteps = 0
	}
}

// decide turns the state to slow or back when enough steps in a row say so.
func (d *Detector) decide() {
	switch {
	case !d.slow && d.badSteps >= stepsToSlow:
		d.slow = true
		d.slowSince = d.step
	case d.slow && d.goodSteps >= stepsToRecover:
		d.slow = false
	}
}

// learn takes an observation into the baseline: the median of the first ones,
// then a moving average.
func (d *Detector) learn(duration float64) {
	if duration <= 0 {
		return
	}
	if d.baseline > 0 {
		d.baseline += (duration - d.baseline) * baselineWeight
		return
	}
	d.samples = append(d.samples, duration)
	if len(d.samples) < samplesForBaseline {
		return
	}
	sort.Float64s(d.samples)
	d.baseline = d.samples[len(d.samples)/2]
	d.samples = nil
}

// UpdatePeer takes what another node reported of itself; it counts for some steps.
func (d *Detector) UpdatePeer(node string, slow bool) {
	d.peers[node] = peerReport{slow: slow, step: d.step}
}

// mostPeersHealthy reports whether at least half of the other nodes are healthy.
// Only reports from some steps after this one became slow count, so that a cause
// that all share has shown. If most are slow, or none reported, refusing would not
// help: no other node is known to be better.
func (d *Detector) mostPeersHealthy() bool {
	healthy, all := 0, 0
	for _, report := range d.peers {
		if report.step < d.slowSince+stepsBeforePeersCount {
			continue
		}
		all++
		if !report.slow {
			healthy++
		}
	}
	return healthy > 0 && 2*healthy >= all
}

// Slow reports whether this machine is much slower than its baseline, whatever the
// other nodes are.
func (d *Detector) Slow() bool { return d.slow }

// ShouldRefuseNew reports whether new connections should go to other nodes.
func (d *Detector) ShouldRefuseNew() bool { return d.refusingSteps > 0 }

// ShouldShed reports whether open connections should move too: new ones have
// been refused long enough for the platform to have noticed.
func (d *Detector) ShouldShed() bool { return d.refusingSteps > stepsToShed }

// State is what a detector has found; the keys are those of the state page.
type State struct {
	Slow        bool    `json:"slow"`
	RefusesNew  bool    `json:"out"`
	BaselineUs  float64 `json:"usual_us"`
	PeerReports int     `json:"heard"` // nodes whose report counts
}

// State returns the detector's state.
func (d *Detector) State() State {
	return State{
		Slow:        d.slow,
		RefusesNew:  d.ShouldRefuseNew(),
		BaselineUs:  d.baseline / 1e3,
		PeerReports: len(d.peers),
	}
}
