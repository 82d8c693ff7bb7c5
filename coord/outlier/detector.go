package outlier

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspicionLifetime is how long a suspicion that is not repeated lasts at a node.
	suspicionLifetime = 3 * time.Second
	// suspectShare is the part of the requests that a suspect still gets, of those that are not retriable.
	suspectShare = 0.1
	// suspectRetriableShare is the same of those that are: their answers clear it or confirm the suspicion.
	suspectRetriableShare = 0.6
	// overduePredictionFactor times the prediction, and overdueMargin more, is overdue: the margin keeps short predictions
	// from making noise.
	overduePredictionFactor = 4.0
	overdueMargin           = 150 * time.Millisecond
	// overdueTargetFactor times the latency target is the least that counts: queues at busy replicas are common.
	overdueTargetFactor = 1.5
	// meanWindowAnswers is the number of answers over which the mean answer time of a service moves; before that many came
	// it is not used.
	meanWindowAnswers = 50
)

// Fitness is whether a replica may be chosen.
type Fitness int

// The values of Fitness, best last.
const (
	Ejected    Fitness = iota // or its one trial is under way
	PassedOver                // suspected and passed over this time: to be used only if there is no other
	Fit
)

// replicaRecord is what a detector knows of one replica.
type replicaRecord struct {
	service       string
	failures      decayingSum // weighted by kind, over failureHalfLife
	episodes      decayingSum // ejections, over episodeHalfLife
	ejectedUntil  time.Time   // zero: it never was
	byEvidence    bool        // the newest ejection was by evidence against its peers, not at once
	needsTrial    bool        // from an ejection on, until an answer comes: the next request is the one trial
	trialUnderWay bool
	suspectUntil  time.Time // zero: it never was

	unreportedSuccesses float64 // requests since the last TakeReports
	unreportedFailures  float64 // weighted by kind, since then
}

func (r *replicaRecord) isSuspect(now time.Time) bool { return now.Before(r.suspectUntil) }
func (r *replicaRecord) isEjected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// serviceRecord is what a detector knows of the replicas of one service together.
type serviceRecord struct {
	replicas    int
	failures    decayingSum // of all of them
	meanSeconds float64     // of an answer without a prediction; valid from meanWindowAnswers answers on
	answers     int
}

// Detector is one node's judgement of replicas. Make it with [NewDetector]. What is recorded of an unknown replica is
// dropped. All methods are safe for concurrent use.
type Detector struct {
	// random returns a number in [0, 1); tests replace it.
	random func() float64
	// flagged is no less than the number of replicas that are ejected, await a trial or are suspected; while it is 0 all
	// are fit, which Fitness then says without the lock.
	flagged atomic.Int64

	mu       sync.Mutex                // guards the fields below
	replicas map[string]*replicaRecord // by id
	services map[string]*serviceRecord // by name
}

// NewDetector returns a detector that knows no replica.
func NewDetector() *Detector {
	return &Detector{
		random:   rand.Float64,
		replicas: map[string]*replicaRecord{},
		services: map[string]*serviceRecord{},
	}
}

// SetReplicas takes the ids of all replicas, each with its service. Records of others are dropped.
func (d *Detector) SetReplicas(services map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range d.services {
		service.replicas = 0
	}
	for id, name := range services {
		if d.replicas[id] == nil {
			d.replicas[id] = &replicaRecord{service: name}
		}
		if d.services[name] == nil {
			d.services[name] = &serviceRecord{}
		}
		d.services[name].replicas++
	}
	for id := range d.replicas {
		if _, listed := services[id]; !listed {
			delete(d.replicas, id)
		}
	}
}

// Fitness reports whether a replica may be chosen now; one that isn't known is fit. Retriable requests may be sent
// again if they fail: a suspect gets more of these. For a suspect the result is drawn at random at each call.
func (d *Detector) Fitness(id string, retriable bool, now time.Time) Fitness {
	if d.flagged.Load() == 0 {
		return Fit
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	replica := d.replicas[id]
	switch {
	case replica == nil:
		return Fit
	case replica.isEjected(now), replica.needsTrial && replica.trialUnderWay:
		return Ejected
	case replica.isSuspect(now) && d.passesOver(retriable):
		return PassedOver
	}
	return Fit
}

func (d *Detector) passesOver(retriable bool) bool {
	share := suspectShare
	if retriable {
		share = suspectRetriableShare
	}
	return d.random() >= share
}

// RequestSent records that a request goes to a replica; [Detector.RequestEnded] must follow.
func (d *Detector) RequestSent(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if replica := d.replicas[id]; replica != nil {
		replica.trialUnderWay = replica.needsTrial
	}
}

// RequestEnded records that a request has ended, with whatever result.
func (d *Detector) RequestEnded(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if replica := d.replicas[id]; replica != nil {
		replica.trialUnderWay = false
	}
}

// OverdueAfter is how long after sending a first token is overdue: far later than predicted, or without a prediction
// (0) than the service's answers take on average, and never before overdueTargetFactor times the latency target, as a
// busy replica may just have a queue until then. ok is false if the replica is unknown, or without a prediction while too few answers have come.
func (d *Detector) OverdueAfter(id string, predicted, target time.Duration) (after time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	replica := d.replicas[id]
	if replica == nil {
		return 0, false
	}
	if predicted <= 0 {
		service := d.services[replica.service]
		if service.answers < meanWindowAnswers {
			return 0, false
		}
		predicted = time.Duration(service.meanSeconds * float64(time.Second))
	}
	byPrediction := time.Duration(overduePredictionFactor*float64(predicted)) + overdueMargin
	return max(byPrediction, time.Duration(overdueTargetFactor*float64(target))), true
}

// Answer is the first token of an answer, or the complete answer if it has no tokens.
type Answer struct {
	Took      time.Duration // since the request was sent
	Predicted time.Duration // 0: there was no prediction
	Overdue   bool          // its lateness was recorded as a failure already
}

// RecordSuccess records that a replica answered. An overdue answer ends a trial like any other, but is no success.
func (d *Detector) RecordSuccess(id string, answer Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	replica := d.replicas[id]
	if replica == nil {
		return
	}
	replica.needsTrial, replica.trialUnderWay = false, false
	if answer.Predicted <= 0 {
		service := d.services[replica.service]
		service.answers++
		service.meanSeconds += (answer.Took.Seconds() - service.meanSeconds) / float64(min(service.answers, meanWindowAnswers))
	}
	if !answer.Overdue {
		replica.unreportedSuccesses++
	}
}

// SetSuspects takes what the [Aggregator] found in the reports of the fleet: these replicas, and no others, are suspected
// for suspicionLifetime. An id that isn't known is ignored.
func (d *Detector) SetSuspects(ids []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspects := make(map[string]bool, len(ids))
	for _, id := range ids {
		suspects[id] = true
	}
	for id, replica := range d.replicas {
		if !suspects[id] {
			replica.suspectUntil = time.Time{}
			continue
		}
		replica.suspectUntil = now.Add(suspicionLifetime)
		d.flagged.Add(1)
	}
}
