package placement

import (
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/prefixindex"
)

// sameZoneBonus is the part of its slots by which a replica in another zone must be less loaded to be preferred, for
// services without an engine.
const sameZoneBonus = 0.15

// selection is the choosing of a replica for one request at one moment, under the Placer's lock. It lives on the stack
// of [Placer.Place] and changes nothing.
type selection struct {
	request        *Request
	pool           *pool
	now            time.Time
	options        *Options
	rates          *rates
	index          *prefixindex.Index
	health         *outlier.Detector
	replicas       map[string]*replicaState
	sharedWeight   float64 // of a shared block of the prompt, 1 or more
	allowSuspected bool    // suspected replicas that are passed over may be used too
}

// selected is what was chosen; replica is nil if none may be used.
type selected struct {
	replica    *replicaState
	choice     Choice  // all but its Replica
	warmupRate float64 // requests a second that may be sent there if it is warming up
}

// choose chooses a warmed-up replica, else one that is warming up. Suspects that were passed over are tried, in the same
// order, only if there is none.
func (s *selection) choose() selected {
	chosen := s.chooseOnce()
	if chosen.replica == nil {
		s.allowSuspected = true
		chosen = s.chooseOnce()
	}
	return chosen
}

func (s *selection) chooseOnce() selected {
	var chosen selected
	if s.request.Chain != nil {
		chosen = s.choosePrompt()
	} else {
		chosen.replica = s.chooseLessLoaded()
	}
	if chosen.replica == nil {
		return s.chooseWarmingUp()
	}
	return chosen
}

// isEligible reports whether a replica may get the request now.
func (s *selection) isEligible(replica *replicaState) bool {
	if !replica.isOpen() || s.request.Excluded[replica.listed.ID] {
		return false
	}
	if s.request.AllowsZone != nil && !s.request.AllowsZone(replica.listed.Zone) {
		return false
	}
	fitness := s.health.Fitness(replica.listed.ID, s.request.Retriable, s.now)
	return fitness == outlier.Fit || fitness == outlier.PassedOver && s.allowSuspected
}

// isWarmedUp reports whether a replica may get the request now and is not warming up.
func (s *selection) isWarmedUp(replica *replicaState) bool {
	return s.isEligible(replica) && !replica.isWarmingUp(s.now)
}

// choosePrompt compares the candidates of a prompt: the least cost wins, and of equal ones the first. Homes come first, so
// that is the first home unless no home may be used.
func (s *selection) choosePrompt() selected {
	var set candidateSet
	s.gather(&set)
	if set.count == 0 {
		return selected{}
	}
	candidates := set.items[:set.count]
	s.index.MatchedEach(s.request.Chain, len(candidates),
		func(i int) string { return candidates[i].replica.listed.ID },
		func(i, tokens int) { candidates[i].matchedTokens = tokens })
	best := 0
	for i := range candidates {
		candidates[i].cost = s.cost(&candidates[i])
		if candidates[i].cost < candidates[best].cost {
			best = i
		}
	}
	choice := s.predict(&candidates[best])
	if best > 0 {
		choice.BetterCached = candidates[best].matchedTokens > candidates[0].matched()
		choice.Spilled = !choice.BetterCached
	}
	return selected{replica: candidates[best].replica, choice: choice}
}

// predict returns a choice of a candidate, with the times that are expected there.
func (s *selection) predict(c *candidate) Choice {
	matched := c.matched()
	perToken := c.replica.speed.prefillPerToken
	unloaded := baseTTFT + durations.FromSeconds(float64(s.request.Chain.Tokens()-matched)*perToken)
	delay := c.replica.queueDelay(s.now, s.rates.meanUncachedTokens*perToken)
	return Choice{MatchedTokens: matched, UnloadedTTFT: unloaded, PredictedTTFT: durations.FromSeconds(delay) + unloaded}
}

// chooseLessLoaded returns the less loaded of two random replicas, the first of them from the own zone if it has any.
func (s *selection) chooseLessLoaded() *replicaState {
	near := s.pool.openByZone[s.request.Zone]
	first := s.drawOrScan(near)
	second := s.drawOrScan(s.pool.open)
	if first == nil {
		first, second = second, s.draw(s.pool.open)
	}
	if first == nil || second == nil {
		return first
	}
	firstLoad, secondLoad := first.occupancy(s.now), second.occupancy(s.now)
	if first.listed.Zone != second.listed.Zone && first.listed.Zone == s.request.Zone {
		secondLoad += sameZoneBonus
	}
	if secondLoad < firstLoad {
		return second
	}
	return first
}

func (s *selection) drawOrScan(replicas []*replicaState) *replicaState {
	if drawn := s.draw(replicas); drawn != nil {
		return drawn
	}
	return s.scan(replicas)
}

// chooseWarmingUp returns the replica that is warming up, may get the request, and may have its next request since the
// longest time.
func (s *selection) chooseWarmingUp() selected {
	var chosen selected
	for _, replica := range s.pool.open {
		if !s.isEligible(replica) || !replica.isWarmingUp(s.now) || s.now.Before(replica.warmup.next) {
			continue
		}
		if chosen.replica != nil && !replica.warmup.next.Before(chosen.replica.warmup.next) {
			continue
		}
		if rate := s.request.WarmupRate(replica.listed.ID); rate > 0 {
			chosen.replica, chosen.warmupRate = replica, rate
		}
	}
	return chosen
}
