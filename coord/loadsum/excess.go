package loadsum

import (
	"math"
)

// Services tells which service a replica belongs to, and how many replicas each
// service has.
type Services struct {
	ByReplica map[uint32]string // by the replica's key
	Replicas  map[string]int
}

// Excess keeps of a sum what stands out: at each replica what is beyond the
// usual load of its service, the most first. Unknown replicas are left out.
func Excess(piles []Load, services *Services) []Load {
	tokens := map[string]float64{} // by service
	for _, pile := range piles {
		tokens[services.ByReplica[pile.Key]] += float64(pile.Tokens)
	}
	var excess []Load
	for _, pile := range piles {
		service, known := services.ByReplica[pile.Key]
		if !known {
			continue
		}
		replicas := float64(max(1, services.Replicas[service]))
		usual := deckMean*tokens[service]/replicas + deckLeast
		over := float64(pile.Tokens) - usual
		if over >= 1 {
			excess = append(excess, Load{Key: pile.Key, Tokens: uint32(math.Round(over))})
		}
	}
	return heaviest(excess, deckSpread)
}
