package placement

import (
	"cmp"
	"slices"
	"time"

	"shaletrestle/coord/loadsum"
)

// fleetLoadLifetime is the time over which a sum of the fleet fades to nothing. In normal operation the next one comes
// earlier.
const fleetLoadLifetime = 1000 * time.Millisecond

// fleetLoad is what waits at a replica by the fleet's sums, in prompt tokens.
type fleetLoad struct {
	key       uint32    // by which the sums name the replica
	published uint32    // this process's own part of the newest sums, as [Placer.PendingPrefill] gave it last
	others    float64   // what other nodes have there beyond what is usual for its service
	othersAt  time.Time // when the sum came; it counts for fleetLoadLifetime
}

// PendingPrefill returns the prompt tokens that this process has sent to replicas and that still wait for prefill, sorted
// by key, to be added up over the fleet.
func (p *Placer) PendingPrefill() []loadsum.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []loadsum.Load
	for _, replica := range p.replicas {
		replica.fleet.published = uint32(replica.sent.pendingPrefillTokens)
		if replica.fleet.published > 0 {
			loads = append(loads, loadsum.Load{Key: replica.fleet.key, Tokens: replica.fleet.published})
		}
	}
	slices.SortFunc(loads, func(a, b loadsum.Load) int { return cmp.Compare(a.Key, b.Key) })
	return loads
}

// UpdateFleetLoad takes what stands out in the fleet's sum of what waits; replicas that aren't listed have no excess.
// Only the excess counts: the sum is some hundred milliseconds old when it comes, and where all replicas are equally busy
// a prompt is prefilled soonest where its shared parts are cached.
func (p *Placer) UpdateFleetLoad(loads []loadsum.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	tokens := make(map[uint32]uint32, len(loads))
	for _, load := range loads {
		tokens[load.Key] = load.Tokens
	}
	for _, replica := range p.replicas {
		sum := tokens[replica.fleet.key]
		replica.fleet.others = float64(sum - min(sum, replica.fleet.published))
		replica.fleet.othersAt = now
	}
}

// otherNodesTokens is what other nodes have waiting at a replica beyond what is usual, fading.
func (r *replicaState) otherNodesTokens(now time.Time) float64 {
	age := now.Sub(r.fleet.othersAt)
	if age >= fleetLoadLifetime {
		return 0
	}
	return r.fleet.others * (1 - float64(age)/float64(fleetLoadLifetime))
}
