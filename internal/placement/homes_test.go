package placement

import (
	"fmt"
	"math/rand/v2"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func homeBucket(placer *Placer, key prefixindex.Key) []*replicaState {
	pool := placer.pools["p"]
	return pool.homes.bucket(key, pool.all)
}

func TestHomes_ReplicasChange_BucketsKeepTheirOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 3))
	placer := NewPlacer(prefixindex.NewIndex())
	replicas := fleet(200)
	placer.SetReplicas(replicas, nil, 0)
	for round := range 30 {
		for k := range 50 {
			homeBucket(placer, prefixindex.Key(k))
		}
		next := map[string]*state.Replica{}
		for id, x := range replicas {
			if r.IntN(20) > 0 {
				next[id] = x
			}
		}
		for i := range r.IntN(12) {
			id := fmt.Sprintf("n%d-%d", round, i)
			next[id] = &state.Replica{ID: id, Pool: "p", State: "ready", Zone: "a", Slots: 8}
		}
		replicas = next
		placer.SetReplicas(replicas, nil, 0)
		fresh := NewPlacer(prefixindex.NewIndex())
		fresh.SetReplicas(replicas, nil, 0)
		for k := range 50 {
			var got, want []string
			for _, b := range homeBucket(placer, prefixindex.Key(k)) {
				got = append(got, b.replica.ID)
			}
			for _, b := range homeBucket(fresh, prefixindex.Key(k)) {
				want = append(want, b.replica.ID)
			}
			require.Equal(t, want, got)
		}
	}
}

func TestHomes_ManyChains_SpreadEvenly(t *testing.T) {
	placer := NewPlacer(prefixindex.NewIndex())
	placer.SetReplicas(fleet(90), nil, 0)
	at := map[string]int{}
	for doc := range uint64(20000) {
		var homes candidateSet
		choosing := placer.newSelection(ask(chain(10+doc, 50)), placer.pools["p"], time.Now())
		choosing.addHomes(&homes)
		require.Equal(t, homesPerChain, homes.count)
		at[homes.items[0].replica.replica.ID]++
	}
	for id := range placer.replicas {
		require.InDelta(t, 20000/90.0, at[id], 20000/90.0*0.4, id)
	}
}
