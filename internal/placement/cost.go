package placement

import (
	"math"
	"time"

	"shaletrestle/internal/prefixindex"
)

// Load is what the cost is reckoned from, in blocks.
type Load struct {
	ActivePrefill  float64 // waiting to be read at the replica
	IncomingPrompt float64 // the prompt's
	OverlapCredit  float64
	ActiveDecode   float64 // of memory held by what runs there
	IncomingActive float64 // that the prompt and its answer will hold
	ActiveRequest  float64 // what the requests there count for by their number
	Scale          float64 // prefill_load_scale, times how much slower than the service's mean the replica reads
}

// Cost is the source's: the least one wins.
func (l *Load) Cost() float64 {
	adjusted := max(0, l.ActivePrefill+l.IncomingPrompt-l.OverlapCredit)
	return l.Scale*adjusted + l.ActiveDecode + l.IncomingActive + l.ActiveRequest
}

// shared is what a shared block of an inquiry weighs: the less time the aim leaves beside reading the prompt's own part, the nearer to one, so that a prompt in a hurry goes where it is read soonest.
func (o *Options) shared(a *Request, perToken float64) float64 {
	own := a.Chain.Tokens()
	if n := a.Chain.Shared(); n > 0 {
		own -= a.Chain.Upto[n-1]
	}
	slack := 1 - (float64(own)*perToken+firstBase.Seconds())/max(a.Aim.Seconds(), firstBase.Seconds())
	return 1 + (o.Reread-1)*min(max(slack, 0), 1)
}

// incoming is a prompt in blocks, the shared ones weighed.
func (o *Options) incoming(c *prefixindex.Chain, weight float64) float64 {
	shared, all := o.blocks(c)
	return all + (weight-1)*shared
}

// blocks tells how many full blocks of a chain are shared, and how many there are in all, a started one included.
func (o *Options) blocks(c *prefixindex.Chain) (shared, all float64) {
	if n := c.Shared(); n > 0 {
		shared = float64(c.Upto[n-1] / o.Block)
	}
	return shared, float64((c.Tokens() + o.Block - 1) / o.Block)
}

// credit is what so many kept tokens take off a prompt.
func (o *Options) credit(c *prefixindex.Chain, kept int, weight float64) float64 {
	shared, _ := o.blocks(c)
	held := float64(kept / o.Block)
	return o.Credit * (held + (weight-1)*min(held, shared))
}

// decayed is a credit under a line of so many blocks.
func (o *Options) decayed(credit, line float64) float64 {
	if o.Decay <= 0 {
		return credit
	}
	return credit * o.Decay / (o.Decay + line)
}

// rate is how much slower than the service's mean a replica reads; a small difference is chance.
func (b *berth) rate() float64 {
	switch d := b.slow; {
	case d > rateBand:
		return min(1+d-rateBand, rateMost)
	case d < -rateBand:
		return max(1+d+rateBand, 1/rateMost)
	}
	return 1
}

// read notes a time per token that was seen at a replica, waiting included, beside the mean of all.
func (y *Placer) read(b *berth, per float64) {
	if y.per == 0 {
		y.per = per
	}
	y.per += rateSlice * (per - y.per)
	if y.per > 0 {
		d := min(per/y.per, 2*rateMost) - 1
		b.slow += rateSlice * (d - b.slow)
	}
}

// busyness is how many requests run at a replica: its own word, fading to the service's mean, and never less than this process has there.
func (b *berth) busyness(p *pool, now time.Time) float64 {
	n := p.mean * b.places()
	if age := now.Sub(b.toldAt); b.slots > 0 && age < toldSpan {
		n += (b.running - n) * (1 - float64(age)/float64(toldSpan))
	}
	return max(n, float64(b.inflight))
}

func (b *berth) places() float64 {
	if b.slots > 0 {
		return b.slots
	}
	return float64(max(1, b.r.Slots))
}

// queued is how many wait there by its own word.
func (b *berth) queued(now time.Time) float64 {
	if age := now.Sub(b.toldAt); age < toldWait {
		return b.waiting * (1 - float64(age)/float64(toldWait))
	}
	return 0
}

// late is the delay beyond the predicted that was seen there, fading.
func (b *berth) late(now time.Time) float64 {
	if age := now.Sub(b.extraAt); age < extraSpan {
		return b.extra * math.Exp(-age.Seconds()*extraFade)
	}
	return 0
}

// weigh fills a load but for its credit.
func (y *Placer) weigh(l *Load, b *berth, p *pool, a *Request, now time.Time) {
	block := float64(y.opts.Block)
	l.IncomingPrompt = y.opts.incoming(a.Chain, a.weight)
	l.IncomingActive = math.Ceil(float64(a.Chain.Tokens()+a.OutMost) / block)
	prompt := max(y.prompt/block, 0)
	run, wait := b.busyness(p, now), b.queued(now)
	l.ActivePrefill = max((b.tokens+b.others(now))/block, wait*prompt, b.late(now)/max(y.prefill*block, 1e-9))
	l.ActiveDecode = max(b.kv, run*p.hold) / block
	// what is over the mark waits for a place or is put back and read anew: it counts as reading
	if over := run + wait + 1 - y.opts.Full*b.places(); over > 0 {
		l.ActivePrefill += over * max(prompt, l.IncomingPrompt)
	}
	if room := y.opts.Full * float64(a.Capacity) / block; a.Capacity > 0 {
		l.ActivePrefill += max(0, l.ActiveDecode+l.IncomingActive-max(room, l.IncomingActive))
	}
	if y.opts.Active {
		l.ActiveRequest = y.opts.ActiveWeight * (run + wait)
	}
	l.Scale = y.opts.PrefillScale * b.rate()
	if b.r.Zone != a.Locality {
		l.ActivePrefill += y.opts.Away
	}
}
