package placement

import (
	"cmp"
	"slices"
	"time"

	"shaletrestle/coord/loadsum"
)

// Waiting is what this process has sent to replicas that they have not read yet, to be told to the fleet.
func (y *Placer) PendingPrefill() []loadsum.Load {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ps []loadsum.Load
	for _, b := range y.replicas {
		if b.publishedTokens = uint32(b.pendingTokens); b.publishedTokens > 0 {
			ps = append(ps, loadsum.Load{Key: b.loadKey, Tokens: b.publishedTokens})
		}
	}
	slices.SortFunc(ps, func(a, b loadsum.Load) int { return cmp.Compare(a.Key, b.Key) })
	return ps
}

// Hear takes what stands out in the fleet's sum of what waits; elsewhere nothing does. It is some hundred ms old when it comes, and where all are busy alike a prompt is read soonest where its shared parts are.
func (y *Placer) UpdateFleetLoad(ps []loadsum.Load) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	of := make(map[uint32]uint32, len(ps))
	for _, p := range ps {
		of[p.Key] = p.Tokens
	}
	for _, b := range y.replicas {
		n := of[b.loadKey]
		b.fleetTokens, b.fleetTokensAt = float64(n-min(n, b.publishedTokens)), now
	}
}

// others is what other nodes have waiting at a replica beyond the usual, in tokens, fading.
func (b *replicaState) otherNodesTokens(now time.Time) float64 {
	age := now.Sub(b.fleetTokensAt)
	if age >= fleetLoadLifetime {
		return 0
	}
	return b.fleetTokens * (1 - float64(age)/float64(fleetLoadLifetime))
}
