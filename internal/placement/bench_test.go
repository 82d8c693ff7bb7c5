package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"shaletrestle/internal/prefixindex"
)

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{90, 1500} {
		for _, kind := range []string{"prompt", "plain"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				index := prefixindex.NewIndex()
				placer := NewPlacer(index)
				placer.SetReplicas(fleet(n), nil, 0)
				random := rand.New(rand.NewPCG(1, 2))
				var requests []*Request
				for i := range 4096 {
					request := ask(nil)
					if kind == "prompt" {
						first := random.Uint64N(20)
						request = ask(prefixindex.NewChain(prefixindex.RootKey("m", 1), []prefixindex.Part{{ID: first, Tokens: 340}, {ID: 100 + first*100 + random.Uint64N(100), Tokens: 500}, {ID: 1e9 + uint64(i), Tokens: 2000}}))
					}
					requests = append(requests, request)
				}
				for _, request := range requests { // homes and index as they are after a while
					if choice, ok := placer.Place(request); ok {
						index.RecordSent(choice.Replica.ID, 400000, request.Chain, "p")
						placer.Release(&Attempt{ReplicaID: choice.Replica.ID, Chain: request.Chain, MatchedTokens: choice.MatchedTokens, MaxOutputTokens: request.MaxOutputTokens})
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					request := requests[i%len(requests)]
					choice, _ := placer.Place(request)
					placer.Release(&Attempt{ReplicaID: choice.Replica.ID, Chain: request.Chain, MatchedTokens: choice.MatchedTokens, MaxOutputTokens: request.MaxOutputTokens})
				}
			})
		}
	}
}
