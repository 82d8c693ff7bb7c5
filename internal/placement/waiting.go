package placement

import (
	"cmp"
	"slices"
	"time"

	"shaletrestle/coord/loadsum"
)

// Waiting is what this process has sent to replicas that they have not read yet, to be told to the fleet.
func (y *Placer) Waiting() []loadsum.Load {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ps []loadsum.Load
	for _, b := range y.b {
		if b.said = uint32(b.tokens); b.said > 0 {
			ps = append(ps, loadsum.Load{Key: b.key, Tokens: b.said})
		}
	}
	slices.SortFunc(ps, func(a, b loadsum.Load) int { return cmp.Compare(a.Key, b.Key) })
	return ps
}

// Hear takes what stands out in the fleet's sum of what waits; elsewhere nothing does. It is some hundred ms old when it comes, and where all are busy alike a prompt is read soonest where its shared parts are.
func (y *Placer) Hear(ps []loadsum.Load) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	of := make(map[uint32]uint32, len(ps))
	for _, p := range ps {
		of[p.Key] = p.Tokens
	}
	for _, b := range y.b {
		n := of[b.key]
		b.fleet, b.fleetAt = float64(n-min(n, b.said)), now
	}
}

// others is what other nodes have waiting at a replica beyond the usual, in tokens, fading.
func (b *berth) others(now time.Time) float64 {
	age := now.Sub(b.fleetAt)
	if age >= deckSpan {
		return 0
	}
	return b.fleet * (1 - float64(age)/float64(deckSpan))
}
