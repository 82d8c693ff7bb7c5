package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

func homeBucket(placer *Placer, key prefixindex.Key) []*replicaState {
	pool := placer.pools["p"]
	return pool.homes.bucket(key, pool.all)
}

func TestHomes_ReplicasChange_BucketsKeepTheirOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 3))
	placer := NewPlacer(prefixindex.NewIndex())
	replicas := fleet(200)
	placer.SetReplicas(replicas, nil, 0)
	for round := range 30 {
		for k := range 50 {
			homeBucket(placer, prefixindex.Key(k))
		}
		next := map[string]*state.Replica{}
		for id, listed := range replicas {
			if random.IntN(20) > 0 {
				next[id] = listed
			}
		}
		for i := range random.IntN(12) {
			id := fmt.Sprintf("n%d-%d", round, i)
			next[id] = &state.Replica{ID: id, Pool: "p", State: "ready", Zone: "a", Slots: 8}
		}
		replicas = next
		placer.SetReplicas(replicas, nil, 0)
		fresh := NewPlacer(prefixindex.NewIndex())
		fresh.SetReplicas(replicas, nil, 0)
		for k := range 50 {
			var got, want []string
			for _, replica := range homeBucket(placer, prefixindex.Key(k)) {
				got = append(got, replica.listed.ID)
			}
			for _, replica := range homeBucket(fresh, prefixindex.Key(k)) {
				want = append(want, replica.listed.ID)
			}
			require.Equal(t, want, got)
		}
	}
}

func TestHomes_ManyChains_SpreadEvenly(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(90), nil, 0)
	counts := map[string]int{}
	for doc := range uint64(20000) {
		var homes candidateSet
		choosing := placer.newSelection(ask(chain(10+doc, 50)), placer.pools["p"], time.Now())
		choosing.addHomes(&homes)
		require.Equal(t, homesPerChain, homes.count)
		counts[homes.items[0].replica.listed.ID]++
	}
	for id := range placer.replicas {
		require.InDelta(t, 20000/90.0, counts[id], 20000/90.0*0.4, id)
	}
}
