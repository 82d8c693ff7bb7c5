package placement

import (
	"fmt"
	"math/rand/v2"
	"shaletrestle/internal/prefixindex"
	"testing"
)

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{90, 1500} {
		for _, kind := range []string{"prompt", "plain"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				index := prefixindex.NewIndex()
				placer := NewPlacer(index)
				placer.SetReplicas(fleet(n), nil, 0)
				r := rand.New(rand.NewPCG(1, 2))
				var as []*Request
				for i := range 4096 {
					a := ask(nil)
					if kind == "prompt" {
						first := r.Uint64N(20)
						a = ask(prefixindex.NewChain(prefixindex.RootKey("m", 1), []prefixindex.Part{{ID: first, Tokens: 340}, {ID: 100 + first*100 + r.Uint64N(100), Tokens: 500}, {ID: 1e9 + uint64(i), Tokens: 2000}}))
					}
					as = append(as, a)
				}
				for _, a := range as { // homes and index as they are after a while
					if c, ok := placer.Place(a); ok {
						index.RecordSent(c.Replica.ID, 400000, a.Chain, "p")
						placer.Release(&Attempt{ReplicaID: c.Replica.ID, Chain: a.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: a.MaxOutputTokens})
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					a := as[i%len(as)]
					c, _ := placer.Place(a)
					placer.Release(&Attempt{ReplicaID: c.Replica.ID, Chain: a.Chain, MatchedTokens: c.MatchedTokens, MaxOutputTokens: a.MaxOutputTokens})
				}
			})
		}
	}
}
