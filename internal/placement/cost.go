package placement

import (
	"math"
	"time"

	"shaletrestle/internal/prefixindex"
)

// Load is what the cost is reckoned from, in blocks.
type costTerms struct {
	ActivePrefill  float64 // waiting to be read at the replica
	IncomingPrompt float64 // the prompt's
	OverlapCredit  float64
	ActiveDecode   float64 // of memory held by what runs there
	IncomingActive float64 // that the prompt and its answer will hold
	ActiveRequest  float64 // what the requests there count for by their number
	PrefillScale   float64 // prefill_load_scale, times how much slower than the service's mean the replica reads
}

// Cost is the source's: the least one wins.
func (l *costTerms) cost() float64 {
	adjusted := max(0, l.ActivePrefill+l.IncomingPrompt-l.OverlapCredit)
	return l.PrefillScale*adjusted + l.ActiveDecode + l.IncomingActive + l.ActiveRequest
}

// shared is what a shared block of an inquiry weighs: the less time the aim leaves beside reading the prompt's own part, the nearer to one, so that a prompt in a hurry goes where it is read soonest.
func (o *Options) sharedBlockWeight(a *Request, perToken float64) float64 {
	own := a.Chain.Tokens()
	if n := a.Chain.SharedParts(); n > 0 {
		own -= a.Chain.PrefixTokens[n-1]
	}
	slack := 1 - (float64(own)*perToken+baseTTFT.Seconds())/max(a.LatencyTarget.Seconds(), baseTTFT.Seconds())
	return 1 + (o.RereadWeight-1)*min(max(slack, 0), 1)
}

// incoming is a prompt in blocks, the shared ones weighed.
func (o *Options) incomingBlocks(c *prefixindex.Chain, weight float64) float64 {
	shared, all := o.blocks(c)
	return all + (weight-1)*shared
}

// blocks tells how many full blocks of a chain are shared, and how many there are in all, a started one included.
func (o *Options) blocks(c *prefixindex.Chain) (shared, all float64) {
	if n := c.SharedParts(); n > 0 {
		shared = float64(c.PrefixTokens[n-1] / o.BlockTokens)
	}
	return shared, float64((c.Tokens() + o.BlockTokens - 1) / o.BlockTokens)
}

// credit is what so many kept tokens take off a prompt.
func (o *Options) creditBlocks(c *prefixindex.Chain, kept int, weight float64) float64 {
	shared, _ := o.blocks(c)
	held := float64(kept / o.BlockTokens)
	return o.OverlapCredit * (held + (weight-1)*min(held, shared))
}

// decayed is a credit under a line of so many blocks.
func (o *Options) decayedCredit(credit, line float64) float64 {
	if o.CreditDecayBlocks <= 0 {
		return credit
	}
	return credit * o.CreditDecayBlocks / (o.CreditDecayBlocks + line)
}

// rate is how much slower than the service's mean a replica reads; a small difference is chance.
func (b *replicaState) relativePrefillTime() float64 {
	switch d := b.slowness; {
	case d > rateNoiseBand:
		return min(1+d-rateNoiseBand, maxRelativeRate)
	case d < -rateNoiseBand:
		return max(1+d+rateNoiseBand, 1/maxRelativeRate)
	}
	return 1
}

// read notes a time per token that was seen at a replica, waiting included, beside the mean of all.
func (y *Placer) observePerToken(b *replicaState, per float64) {
	if y.observedPerToken == 0 {
		y.observedPerToken = per
	}
	y.observedPerToken += rateObservationWeight * (per - y.observedPerToken)
	if y.observedPerToken > 0 {
		d := min(per/y.observedPerToken, 2*maxRelativeRate) - 1
		b.slowness += rateObservationWeight * (d - b.slowness)
	}
}

// busyness is how many requests run at a replica: its own word, fading to the service's mean, and never less than this process has there.
func (b *replicaState) load(p *pool, now time.Time) float64 {
	n := p.meanOccupancy * b.slots()
	if age := now.Sub(b.reportedAt); b.reportedSlots > 0 && age < runningReportLifetime {
		n += (b.reportedRunning - n) * (1 - float64(age)/float64(runningReportLifetime))
	}
	return max(n, float64(b.inflight))
}

func (b *replicaState) slots() float64 {
	if b.reportedSlots > 0 {
		return b.reportedSlots
	}
	return float64(max(1, b.replica.Slots))
}

// queued is how many wait there by its own word.
func (b *replicaState) queueLength(now time.Time) float64 {
	if age := now.Sub(b.reportedAt); age < waitingReportLifetime {
		return b.reportedWaiting * (1 - float64(age)/float64(waitingReportLifetime))
	}
	return 0
}

// late is the delay beyond the predicted that was seen there, fading.
func (b *replicaState) residualDelay(now time.Time) float64 {
	if age := now.Sub(b.extraDelayAt); age < extraDelayLifetime {
		return b.extraDelay * math.Exp(-age.Seconds()*extraDelayDecayPerSecond)
	}
	return 0
}

// weigh fills a load but for its credit.
func (y *Placer) addLoad(l *costTerms, b *replicaState, p *pool, a *Request, now time.Time) {
	block := float64(y.options.BlockTokens)
	l.IncomingPrompt = y.options.incomingBlocks(a.Chain, a.sharedWeight)
	l.IncomingActive = math.Ceil(float64(a.Chain.Tokens()+a.MaxOutputTokens) / block)
	prompt := max(y.meanUncachedTokens/block, 0)
	run, wait := b.load(p, now), b.queueLength(now)
	l.ActivePrefill = max((b.pendingTokens+b.otherNodesTokens(now))/block, wait*prompt, b.residualDelay(now)/max(y.prefillPerToken*block, 1e-9))
	l.ActiveDecode = max(b.heldTokens, run*p.meanHeldTokens) / block
	// what is over the mark waits for a place or is put back and read anew: it counts as reading
	if over := run + wait + 1 - y.options.FullMark*b.slots(); over > 0 {
		l.ActivePrefill += over * max(prompt, l.IncomingPrompt)
	}
	if room := y.options.FullMark * float64(a.CapacityTokens) / block; a.CapacityTokens > 0 {
		l.ActivePrefill += max(0, l.ActiveDecode+l.IncomingActive-max(room, l.IncomingActive))
	}
	if y.options.CountActive {
		l.ActiveRequest = y.options.ActiveWeight * (run + wait)
	}
	l.PrefillScale = y.options.PrefillLoadScale * b.relativePrefillTime()
	if b.replica.Zone != a.Zone {
		l.ActivePrefill += y.options.OtherZoneBlocks
	}
}
