package placement

import (
	"time"

	"shaletrestle/coord/outlier"
)

// Stats is what the state page shows of a Placer. Counts are since the start of the process.
type Stats struct {
	Placed                int64                           `json:"placed"`
	Spills                int64                           `json:"spills"` // see [Choice].Spilled
	BetterCached          int64                           `json:"warmer"` // see [Choice].Warmer
	PrefillMicrosPerToken float64                         `json:"prefill_us_per_token"`
	Replicas              map[string]ReplicaStats         `json:"replicas"` // by id
	Health                map[string]outlier.ReplicaStats `json:"health"`   // by id; only those ejected, suspected or with recent failures
}

// ReplicaStats is one replica on the state page.
type ReplicaStats struct {
	Pool         string `json:"service"`
	Zone         string `json:"locality"`
	State        string `json:"state"`    // by the list
	Inflight     int    `json:"inflight"` // requests of this process
	WarmingUp    bool   `json:"cold"`
	Misaddressed bool   `json:"address_reused"`
}

// Stats returns the state of the moment.
func (p *Placer) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	stats := Stats{
		Placed:                p.counts.placed,
		Spills:                p.counts.spilled,
		BetterCached:          p.counts.betterCached,
		PrefillMicrosPerToken: p.rates.prefillPerToken * 1e6,
		Replicas:              make(map[string]ReplicaStats, len(p.replicas)),
		Health:                p.health.Stats(now),
	}
	for id, replica := range p.replicas {
		stats.Replicas[id] = ReplicaStats{
			Pool:         replica.listed.Pool,
			Zone:         replica.listed.Zone,
			State:        replica.listed.State,
			Inflight:     replica.sent.requests,
			WarmingUp:    replica.isWarmingUp(now),
			Misaddressed: replica.misaddressed,
		}
	}
	return stats
}

// Inflight counts the requests that were placed and not released, at replicas that are still listed.
func (p *Placer) Inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, replica := range p.replicas {
		sum += replica.sent.requests
	}
	return sum
}
