package placement

import (
	"math"

	"shaletrestle/internal/prefixindex"
)

// minBlockSeconds keeps a delay that is turned into blocks finite while no time per block is known.
const minBlockSeconds = 1e-9

// costTerms is what the cost of a prompt at a replica is made of, in blocks (session caching 4.4).
type costTerms struct {
	ActivePrefill  float64 // waiting for prefill at the replica
	IncomingPrompt float64 // the prompt's
	OverlapCredit  float64 // for what the replica has cached of the prompt
	ActiveDecode   float64 // of memory in use by what runs there
	IncomingActive float64 // of memory that the prompt and its answer will use
	ActiveRequest  float64 // what the requests there count for by their number
	PrefillScale   float64 // decode blocks for each block to be prefilled
}

// total is the design's cost function: the least one wins. A credit never makes the prefill negative.
func (t *costTerms) total() float64 {
	adjusted := max(0, t.ActivePrefill+t.IncomingPrompt-t.OverlapCredit)
	return t.PrefillScale*adjusted + t.ActiveDecode + t.IncomingActive + t.ActiveRequest
}

// cost is what a candidate costs.
func (s *selection) cost(c *candidate) float64 {
	terms := s.loadTerms(c.replica)
	credit := s.options.creditBlocks(s.request.Chain, c.matched(), s.sharedWeight)
	terms.OverlapCredit = s.options.decayedCredit(credit, terms.ActivePrefill)
	return terms.total()
}

// loadTerms are the terms of the cost at a replica but for its credit.
func (s *selection) loadTerms(replica *replicaState) costTerms {
	var terms costTerms
	block := float64(s.options.BlockTokens)
	terms.IncomingPrompt = s.options.incomingBlocks(s.request.Chain, s.sharedWeight)
	terms.IncomingActive = math.Ceil(float64(s.request.Chain.Tokens()+s.request.MaxOutputTokens) / block)
	meanPrompt := max(s.rates.meanUncachedTokens/block, 0)
	running, waiting := replica.runningCount(s.pool.meanOccupancy, s.now), replica.queueLength(s.now)
	terms.ActivePrefill = s.queuedBlocks(replica, waiting*meanPrompt)
	terms.ActiveDecode = max(replica.sent.reservedTokens, running*s.pool.meanHeldTokens) / block
	// What is over the mark waits for a slot, or is preempted and prefilled again: it counts as prefill.
	if over := running + waiting + 1 - s.options.FullMark*replica.slots(); over > 0 {
		terms.ActivePrefill += over * max(meanPrompt, terms.IncomingPrompt)
	}
	terms.ActivePrefill += s.memoryShortage(&terms)
	if s.options.CountActive {
		terms.ActiveRequest = s.options.ActiveWeight * (running + waiting)
	}
	terms.PrefillScale = s.options.PrefillLoadScale * replica.speed.relativePrefillTime()
	if replica.listed.Zone != s.request.Zone {
		terms.ActivePrefill += s.options.OtherZoneBlocks
	}
	return terms
}

// queuedBlocks is what waits for prefill at a replica, in blocks: the most of what nodes sent there, what the replica
// reports to wait, and the delay that was observed, as each of them may be missing or out of date.
func (s *selection) queuedBlocks(replica *replicaState, reported float64) float64 {
	block := float64(s.options.BlockTokens)
	sent := (replica.sent.pendingPrefillTokens + replica.otherNodesTokens(s.now)) / block
	delayed := replica.speed.residualDelay(s.now) / max(s.rates.prefillPerToken*block, minBlockSeconds)
	return max(sent, reported, delayed)
}

// memoryShortage is the blocks of a replica's memory that would be needed beyond the full mark; 0 if the capacity is
// unknown. A request that exceeds the mark alone is taken to fit an empty replica.
func (s *selection) memoryShortage(terms *costTerms) float64 {
	if s.request.CapacityTokens <= 0 {
		return 0
	}
	room := s.options.FullMark * float64(s.request.CapacityTokens) / float64(s.options.BlockTokens)
	return max(0, terms.ActiveDecode+terms.IncomingActive-max(room, terms.IncomingActive))
}

// sharedBlockWeight is what a shared block of a prompt weighs: the less time the latency target leaves beside the
// prefill of the prompt's own part, the nearer to one, so that a prompt in a hurry goes where its prefill ends soonest.
func (o *Options) sharedBlockWeight(request *Request, prefillPerToken float64) float64 {
	own := request.Chain.Tokens()
	if shared := request.Chain.SharedParts(); shared > 0 {
		own -= request.Chain.PrefixTokens[shared-1]
	}
	slack := 1 - (float64(own)*prefillPerToken+baseTTFT.Seconds())/max(request.LatencyTarget.Seconds(), baseTTFT.Seconds())
	return 1 + (o.RecomputeWeight-1)*min(max(slack, 0), 1)
}

// incomingBlocks is a prompt in blocks, the shared ones weighed.
func (o *Options) incomingBlocks(chain *prefixindex.Chain, sharedWeight float64) float64 {
	shared, all := o.blocks(chain)
	return all + (sharedWeight-1)*shared
}

// blocks returns the number of full blocks of a chain that are shared, and of all its blocks, a partial one included.
func (o *Options) blocks(chain *prefixindex.Chain) (shared, all float64) {
	if n := chain.SharedParts(); n > 0 {
		shared = float64(chain.PrefixTokens[n-1] / o.BlockTokens)
	}
	return shared, float64((chain.Tokens() + o.BlockTokens - 1) / o.BlockTokens)
}

// roundToBlocks rounds tokens down to full blocks.
func (o *Options) roundToBlocks(tokens int) int { return tokens / o.BlockTokens * o.BlockTokens }

// creditBlocks is the blocks that cached tokens take off the prefill of a prompt.
func (o *Options) creditBlocks(chain *prefixindex.Chain, heldTokens int, sharedWeight float64) float64 {
	shared, _ := o.blocks(chain)
	held := float64(heldTokens / o.BlockTokens)
	return o.OverlapCredit * (held + (sharedWeight-1)*min(held, shared))
}

// decayedCredit is what is left of a credit where so many blocks wait for prefill.
func (o *Options) decayedCredit(credit, waitingBlocks float64) float64 {
	if o.CreditDecayBlocks <= 0 {
		return credit
	}
	return credit * o.CreditDecayBlocks / (o.CreditDecayBlocks + waitingBlocks)
}
