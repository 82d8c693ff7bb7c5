package loadsum

import (
	"math"

	"shaletrestle/internal/constants"
)

// Services tells which service a replica belongs to, and how many replicas each has.
type Services struct {
	Of   map[uint32]string
	Size map[string]int
}

// Excess leaves of a sum what stands out: at each replica what is beyond the usual of its service, the most first. Unknown replicas are left out.
func Excess(ps []Pile, s *Services) []Pile {
	sum := map[string]float64{}
	for _, p := range ps {
		sum[s.Of[p.Key]] += float64(p.Tokens)
	}
	var out []Pile
	for _, p := range ps {
		of, ok := s.Of[p.Key]
		usual := constants.DeckMean*sum[of]/float64(max(1, s.Size[of])) + constants.DeckLeast
		if over := float64(p.Tokens) - usual; ok && over >= 1 {
			out = append(out, Pile{p.Key, uint32(math.Round(over))})
		}
	}
	return Heaviest(out, constants.DeckSpread)
}
