package placement

import (
	"math"
	"time"
)

const (
	// InitialPrefillPerToken is the prefill time of a prompt token until it has been learned (source: m02).
	InitialPrefillPerToken = 35 * time.Microsecond
	// baseTTFT is the time to a first token that no prompt token explains.
	baseTTFT = 45 * time.Millisecond
	// minLearnTokens is the least number of uncached tokens from which a time per token is learned: below, baseTTFT
	// outweighs them.
	minLearnTokens = 1500
	// learnDownWeight is the weight of an observation below what is believed.
	learnDownWeight = 0.5
	// learnUpWeight is the weight of one above, which may include waiting.
	learnUpWeight = 0.02
	// rateObservationWeight is the weight of one observation in a replica's speed relative to the mean; it may
	// include waiting, so one says little.
	rateObservationWeight = 0.03
	// rateNoiseBand is the relative difference from the mean that is taken for chance.
	rateNoiseBand = 0.1
	// maxRelativeRate is the factor up to which a replica counts as slower or quicker than the mean.
	maxRelativeRate = 2.0
	// extraDelayLifetime is the time after which a delay seen at a replica is forgotten.
	extraDelayLifetime = 2 * time.Second
	// extraDelayDecay is the rate of its exponential decay until then, per second: a factor of e in half a second.
	extraDelayDecay = 2.0
)

// rates are learned by this process over all replicas. They are guarded by the Placer's lock.
type rates struct {
	prefillPerToken    float64 // seconds: learned quickly down, slowly up, so that waiting is mostly left out
	observedPerToken   float64 // seconds, a mean with waiting in it; 0 before the first observation
	meanUncachedTokens float64 // that a prompt leaves to be prefilled, on average
}

// replicaSpeed is learned from the first tokens of one replica.
type replicaSpeed struct {
	prefillPerToken float64   // seconds, learned as in [rates]
	slowness        float64   // by what part it is slower than the mean; negative: quicker
	extraDelay      float64   // seconds that the newest first token came later than predicted, 0 if it did not
	extraDelayAt    time.Time // when it came; the delay counts for extraDelayLifetime
}

// learn moves a rate to an observation: quickly down, slowly up, since waiting only ever adds to what is observed.
func learn(rate *float64, observed float64) {
	weight := learnUpWeight
	if observed < *rate {
		weight = learnDownWeight
	}
	*rate += weight * (observed - *rate)
}

// observePrompt takes the tokens of a placed prompt that must be prefilled.
func (r *rates) observePrompt(uncachedTokens int) {
	r.meanUncachedTokens += learnUpWeight * (float64(uncachedTokens) - r.meanUncachedTokens)
}

// observePrefill takes the time to a first token for a prompt of which so many tokens had to be prefilled.
func (r *rates) observePrefill(speed *replicaSpeed, took time.Duration, uncachedTokens float64) {
	if uncachedTokens < minLearnTokens {
		return
	}
	perToken := max(0, took.Seconds()-baseTTFT.Seconds()) / uncachedTokens
	learn(&speed.prefillPerToken, perToken)
	r.compare(speed, perToken)
	learn(&r.prefillPerToken, perToken)
}

// compare updates a replica's slowness by a time per token that was observed there, waiting included, relative to the
// mean of all replicas.
func (r *rates) compare(speed *replicaSpeed, perToken float64) {
	if r.observedPerToken == 0 {
		r.observedPerToken = perToken
	}
	r.observedPerToken += rateObservationWeight * (perToken - r.observedPerToken)
	if r.observedPerToken > 0 {
		difference := min(perToken/r.observedPerToken, 2*maxRelativeRate) - 1
		speed.slowness += rateObservationWeight * (difference - speed.slowness)
	}
}

// relativePrefillTime is how many times as long as the mean a replica's prefill takes; a difference inside the noise band
// counts as none.
func (s *replicaSpeed) relativePrefillTime() float64 {
	switch difference := s.slowness; {
	case difference > rateNoiseBand:
		return min(1+difference-rateNoiseBand, maxRelativeRate)
	case difference < -rateNoiseBand:
		return max(1+difference+rateNoiseBand, 1/maxRelativeRate)
	}
	return 1
}

// residualDelay is the delay beyond the prediction, in seconds, that the newest first token of a replica had, decayed.
func (s *replicaSpeed) residualDelay(now time.Time) float64 {
	if age := now.Sub(s.extraDelayAt); age < extraDelayLifetime {
		return s.extraDelay * math.Exp(-age.Seconds()*extraDelayDecay)
	}
	return 0
}
