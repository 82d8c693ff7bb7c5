package loadsum

import "math"

// Services tells which service a replica belongs to, and how many replicas each service has.
type Services struct {
	ByReplica map[uint32]string // the service, by the replica's key
	Replicas  map[string]int    // their number, by service; silent ones count
}

// Excess keeps of a sum what stands out: at each replica what is beyond 1.3 times the mean of its service and 4,000
// tokens. At most 32 replicas are kept, those with the largest excess, which then comes first; unknown replicas are left
// out.
func Excess(loads []Load, services *Services) []Load {
	tokens := map[string]float64{} // by service
	for _, load := range loads {
		tokens[services.ByReplica[load.Key]] += float64(load.Tokens)
	}
	var excess []Load
	for _, load := range loads {
		service, known := services.ByReplica[load.Key]
		if !known {
			continue
		}
		replicas := float64(max(1, services.Replicas[service]))
		usual := usualFactor*tokens[service]/replicas + usualTokens
		over := float64(load.Tokens) - usual
		if over >= 1 {
			excess = append(excess, Load{Key: load.Key, Tokens: uint32(math.Round(over))})
		}
	}
	return heaviest(excess, maxExcessLoads)
}
