package outlier

import (
	"math"
	"time"
)

const (
	// FirstEjectionTime is the length of the first ejection.
	FirstEjectionTime = 700 * time.Millisecond
	// maxEjectionTime bounds later ones, each of which is up to twice as long as the one before.
	maxEjectionTime = 4 * time.Second
	// maxDoublings bounds the exponent, so that the length can't overflow before maxEjectionTime is applied.
	maxDoublings = 4
	// episodeHalfLife is the time over which the sum of earlier ejections halves: that long after one, the next one is
	// lengthened half as much.
	episodeHalfLife = 15 * time.Second
	// failureHalfLife is the time over which a node's own evidence halves: a node of a large fleet sends to a replica only
	// every few seconds.
	failureHalfLife = 3 * time.Second
	// ejectionThreshold is the node's own evidence, the decayed sum of weighted failures, that ejects.
	ejectionThreshold = 1.0
	// suspectEjectionThreshold is the same for a suspect: the least weight, so that one failure of any kind suffices.
	suspectEjectionThreshold = 0.25
	// peerRatio is how many times its peers' mean the evidence against a replica must be.
	peerRatio = 3.0
	// ejectableOneIn bounds ejections by evidence to one in so many replicas of a service.
	ejectableOneIn = 3
)

// maxEjected is how many of a service's replicas may be ejected by evidence at once: never all of them.
func maxEjected(replicas int) int {
	if replicas < 2 {
		return 0
	}
	return max(1, replicas/ejectableOneIn)
}

// RecordFailure records a failure of a replica, and ejects it if the kind or the evidence so far calls for it.
func (d *Detector) RecordFailure(id string, kind FailureKind, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	replica := d.replicas[id]
	if replica == nil {
		return
	}
	peers := d.addFailure(replica, weights[kind], now)
	if replica.isEjected(now) {
		return
	}
	switch {
	case kind.ejectsAtOnce():
		d.eject(replica, false, now)
	case replica.exceedsEjectionThreshold(kind, peers, now) && d.mayEjectByEvidence(replica.service, now):
		d.eject(replica, true, now)
	}
}

// addFailure adds a failure to the sums and returns the mean sum of the replica's peers; 0 without peers.
func (d *Detector) addFailure(replica *replicaRecord, weight float64, now time.Time) (peers float64) {
	service := d.services[replica.service]
	if service.replicas > 1 {
		others := max(0, service.failures.decay(now, failureHalfLife)-replica.failures.decay(now, failureHalfLife))
		peers = others / float64(service.replicas-1)
	}
	replica.failures.add(weight, now, failureHalfLife)
	service.failures.add(weight, now, failureHalfLife)
	replica.unreportedFailures += weight
	return peers
}

// exceedsEjectionThreshold reports whether a failure of a kind, added already, makes the evidence enough for an ejection.
// During a trial any failure is.
func (r *replicaRecord) exceedsEjectionThreshold(kind FailureKind, peers float64, now time.Time) bool {
	if r.needsTrial {
		return kind != StaleConnection // a trial on an expired connection says nothing of the replica
	}
	threshold := ejectionThreshold
	if r.isSuspect(now) {
		threshold = suspectEjectionThreshold
	} else if kind == Overdue {
		return false // a queue at a busy replica looks the same from one node: the fleet's evidence is needed too
	}
	return r.failures.value >= threshold && r.failures.value >= peerRatio*peers
}

// mayEjectByEvidence reports whether fewer replicas of a service are ejected by evidence than may be.
func (d *Detector) mayEjectByEvidence(service string, now time.Time) bool {
	ejected := 0
	for _, replica := range d.replicas {
		if replica.service == service && replica.byEvidence && replica.isEjected(now) {
			ejected++
		}
	}
	return ejected < maxEjected(d.services[service].replicas)
}

// eject keeps requests away for a time that grows with the recent episodes. While as many replicas are ejected already as
// evidence may eject, it doesn't grow.
func (d *Detector) eject(replica *replicaRecord, byEvidence bool, now time.Time) {
	ejected := 0
	for _, peer := range d.replicas {
		if peer.service == replica.service && peer.isEjected(now) {
			ejected++
		}
	}
	length := FirstEjectionTime
	if ejected < maxEjected(d.services[replica.service].replicas) {
		doublings := math.Floor(replica.episodes.decay(now, episodeHalfLife) + 0.5) // rounded to the nearest
		length = min(maxEjectionTime, time.Duration(float64(length)*math.Exp2(min(doublings, maxDoublings))))
	}
	d.flagged.Add(1)
	replica.episodes.add(1, now, episodeHalfLife)
	replica.ejectedUntil, replica.byEvidence = now.Add(length), byEvidence
	replica.needsTrial, replica.trialUnderWay = true, false
}
