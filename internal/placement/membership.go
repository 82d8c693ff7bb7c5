package placement

import (
	"slices"
	"sort"
	"time"

	"shaletrestle/internal/state"
)

// SetReplicas takes the list of replicas, by id, and the zones under evacuation; neither may be changed afterwards.
// When an evacuation ends, the replicas of the zone count as warming up for warmupAfterEvacuation: by then the list says
// whether they are. The index and the detector are given the same replicas.
func (p *Placer) SetReplicas(replicas map[string]*state.Replica, evacuated map[string]bool, warmupAfterEvacuation time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := map[string]bool{} // those whose cache is still of use
	services := make(map[string]string, len(replicas))
	pools := map[string][]*replicaState{}
	for id, listed := range replicas {
		known := p.knownReplica(id)
		if p.evacuated[listed.Zone] && !evacuated[listed.Zone] {
			known.warmup.until = time.Now().Add(warmupAfterEvacuation)
		}
		if known.hasOtherModels(listed) {
			p.index.Forget(id) // other weights: its cache is of no use any more
		}
		known.listed, known.evacuated = listed, evacuated[listed.Zone]
		ready[id], services[id] = listed.State == state.ReplicaReady, listed.Pool
		pools[listed.Pool] = append(pools[listed.Pool], known)
	}
	for id := range p.replicas {
		if replicas[id] == nil {
			delete(p.replicas, id)
		}
	}
	p.evacuated = evacuated
	p.updatePools(pools)
	p.index.Retain(ready)
	p.health.SetReplicas(services)
}

// knownReplica returns the state of a replica, a new one if there is none.
func (p *Placer) knownReplica(id string) *replicaState {
	known := p.replicas[id]
	if known == nil {
		known = newReplicaState(id, p.rates.prefillPerToken)
		p.replicas[id] = known
	}
	return known
}

// hasOtherModels reports whether a new entry of the list gives a replica other models than the one before it.
func (r *replicaState) hasOtherModels(listed *state.Replica) bool {
	previous := r.listed
	return previous != nil && previous.Pool == listed.Pool && !slices.Equal(previous.Models, listed.Models)
}

// updatePools brings the pools up to date with the replicas of each service.
func (p *Placer) updatePools(members map[string][]*replicaState) {
	for name := range p.pools {
		if len(members[name]) == 0 {
			delete(p.pools, name)
		}
	}
	for name, replicas := range members {
		updated := p.pools[name]
		if updated == nil {
			updated = &pool{}
			p.pools[name] = updated
		}
		sort.Slice(replicas, func(i, j int) bool { return replicas[i].listed.ID < replicas[j].listed.ID })
		updated.setMembers(replicas)
		updated.refreshOpen()
	}
}

// Allowed reports whether the list lets a replica take requests, whatever its health; false for an unknown one.
func (p *Placer) Allowed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	return replica != nil && replica.isOpen()
}

// openCount is the number of replicas of a service that take requests by the list.
func (p *Placer) openCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.pools[service]; pool != nil {
		return len(pool.open)
	}
	return 0
}

// MarkMisaddressed records that another replica answers at this one's address. Nothing is sent to it until it has left
// the list and come back.
func (p *Placer) MarkMisaddressed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	if replica == nil {
		return
	}
	replica.misaddressed = true
	p.index.Forget(id)
	if pool := p.pools[replica.listed.Pool]; pool != nil {
		pool.refreshOpen()
	}
}
