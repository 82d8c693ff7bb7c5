package outlier

import "time"

// ReplicaStats is one replica on a state page.
type ReplicaStats struct {
	Failures  float64 `json:"failures_faded"` // weighted by kind, decayed
	Ejected   bool    `json:"ejected"`
	Trial     bool    `json:"trial"` // the next request, or one in flight, is its trial
	Suspected bool    `json:"suspected"`
	Episodes  float64 `json:"episodes_faded"` // ejections, decayed
}

// Stats returns the replicas that are ejected or suspected or failed recently, by id.
func (d *Detector) Stats(now time.Time) map[string]ReplicaStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := map[string]ReplicaStats{}
	for id, replica := range d.replicas {
		shown := ReplicaStats{
			Failures:  replica.failures.decay(now, failureHalfLife),
			Ejected:   replica.isEjected(now),
			Trial:     replica.needsTrial,
			Suspected: replica.isSuspect(now),
			Episodes:  replica.episodes.decay(now, episodeHalfLife),
		}
		if shown.Failures > negligibleSum || shown.Episodes > negligibleSum || shown.Ejected || shown.Suspected {
			stats[id] = shown
		}
	}
	return stats
}
