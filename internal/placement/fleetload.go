package placement

import (
	"cmp"
	"slices"
	"time"

	"shaletrestle/coord/loadsum"
)

// fleetLoadLifetime is the time over which a sum of the fleet fades to nothing. The next comes earlier.
const fleetLoadLifetime = 1000 * time.Millisecond

// fleetLoad is what waits at a replica by the fleet's sums, in prompt tokens.
type fleetLoad struct {
	key       uint32    // by which the sums name the replica
	published uint32    // this process's own part of the newest sums, as [Placer.PendingPrefill] gave it last
	others    float64   // what other nodes have there beyond the usual of its service
	othersAt  time.Time // when others came; it is valid for fleetLoadLifetime
}

// PendingPrefill gives the prompt tokens that this process has sent to replicas and that they have not read yet, sorted
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

// UpdateFleetLoad takes what stands out in the fleet's sum of what waits; elsewhere nothing does. It is some hundred
// milliseconds old when it comes, and where all are busy alike a prompt is read soonest where its shared parts are.
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

// otherNodesTokens is what other nodes have waiting at a replica beyond the usual, fading.
func (r *replicaState) otherNodesTokens(now time.Time) float64 {
	age := now.Sub(r.fleet.othersAt)
	if age >= fleetLoadLifetime {
		return 0
	}
	return r.fleet.others * (1 - float64(age)/float64(fleetLoadLifetime))
}
