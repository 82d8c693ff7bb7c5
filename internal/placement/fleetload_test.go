package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/loadsum"
	"shaletrestle/internal/prefixindex"
)

func TestPlace_OtherNodesPromptsWaitAtHome_AnotherChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sum := loadsum.NewSum()
		here, there := NewPlacer(prefixindex.NewIndex()), NewPlacer(prefixindex.NewIndex())
		here.SetReplicas(fleet(9), nil, 0)
		there.SetReplicas(fleet(9), nil, 0)
		short := func() *Request { return ask(prefixindex.NewChain(prefixindex.RootKey("m", 1), chain(7, 50).Parts[:2])) }
		home, ok := here.Place(short())
		require.True(t, ok)
		here.Release(&Attempt{ReplicaID: home.Replica.ID, Chain: short().Chain})
		for range 40 { // another node's prompts, all for the same home
			request := ask(chain(7, 6000))
			request.CapacityTokens = 1 << 30
			there.replicas[home.Replica.ID].sent.pendingPrefillTokens += float64(request.Chain.Tokens())
		}
		sum.Put(1, here.PendingPrefill(), time.Now())
		sum.Put(2, there.PendingPrefill(), time.Now())
		all := &loadsum.Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"p": 9}}
		for id := range here.replicas {
			all.ByReplica[loadsum.Key(id)] = "p"
		}
		here.UpdateFleetLoad(loadsum.Decode(loadsum.Encode(loadsum.Excess(sum.Total(time.Now()), all))))
		next, ok := here.Place(short())
		require.True(t, ok)
		require.NotEqual(t, home.Replica.ID, next.Replica.ID)
		here.Release(&Attempt{ReplicaID: next.Replica.ID, Chain: short().Chain})
		time.Sleep(fleetLoadLifetime)
		again, _ := here.Place(short())
		require.Equal(t, home.Replica.ID, again.Replica.ID, "the sum has faded")
	})
}

func TestUpdateFleetLoad_OwnPrompts_NotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := NewPlacer(prefixindex.NewIndex())
		placer.SetReplicas(fleet(9), nil, 0)
		replica := placer.replicas["r3"]
		replica.sent.pendingPrefillTokens = 50000
		loads := placer.PendingPrefill()
		require.Equal(t, []loadsum.Load{{Key: loadsum.Key("r3"), Tokens: 50000}}, loads)
		placer.UpdateFleetLoad(loads)
		require.Zero(t, replica.otherNodesTokens(time.Now()), "they are this process's own")
		placer.UpdateFleetLoad([]loadsum.Load{{Key: loadsum.Key("r4"), Tokens: 70000}, {Key: loadsum.Key("r3"), Tokens: 60000}, {Key: 12345, Tokens: 1}})
		require.InDelta(t, 70000, placer.replicas["r4"].otherNodesTokens(time.Now()), 1)
		require.InDelta(t, 10000, replica.otherNodesTokens(time.Now()), 1)
		time.Sleep(fleetLoadLifetime / 2)
		require.InDelta(t, 35000, placer.replicas["r4"].otherNodesTokens(time.Now()), 1)
		placer.UpdateFleetLoad(nil)
		require.Zero(t, placer.replicas["r4"].otherNodesTokens(time.Now()))
	})
}
