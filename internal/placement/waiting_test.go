package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/loadsum"
	"shaletrestle/internal/prefixindex"
)

func TestAPromptPassesByAReplicaWhereOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sum := loadsum.NewSum()
		here, there := NewYard(prefixindex.NewIndex()), NewYard(prefixindex.NewIndex())
		here.Set(fleet(9), nil, 0)
		there.Set(fleet(9), nil, 0)
		short := func() *Request { return ask(prefixindex.NewChain(prefixindex.Root("m", 1), chain(7, 50).Parts[:2])) }
		home, ok := here.Place(short())
		require.True(t, ok)
		here.Done(&End{Replica: home.Replica.ID, Chain: short().Chain})
		for range 40 { // another node's prompts, all for the same home
			a := ask(chain(7, 6000))
			a.Capacity = 1 << 30
			y := there.b[home.Replica.ID]
			y.tokens += float64(a.Chain.Tokens())
		}
		sum.Put(1, here.Waiting(), time.Now())
		sum.Put(2, there.Waiting(), time.Now())
		all := &loadsum.Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"p": 9}}
		for id := range here.b {
			all.ByReplica[loadsum.Key(id)] = "p"
		}
		here.Hear(loadsum.Decode(loadsum.Encode(loadsum.Excess(sum.Total(time.Now()), all))))
		next, ok := here.Place(short())
		require.True(t, ok)
		require.NotEqual(t, home.Replica.ID, next.Replica.ID)
		here.Done(&End{Replica: next.Replica.ID, Chain: short().Chain})
		time.Sleep(deckSpan)
		again, _ := here.Place(short())
		require.Equal(t, home.Replica.ID, again.Replica.ID, "what was heard has faded")
	})
}

func TestOwnPromptsAreNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := NewYard(prefixindex.NewIndex())
		y.Set(fleet(9), nil, 0)
		b := y.b["r3"]
		b.tokens = 50000
		ps := y.Waiting()
		require.Equal(t, []loadsum.Load{{Key: loadsum.Key("r3"), Tokens: 50000}}, ps)
		y.Hear(ps)
		require.Zero(t, b.others(time.Now()), "they are this process's own")
		y.Hear([]loadsum.Load{{Key: loadsum.Key("r4"), Tokens: 70000}, {Key: loadsum.Key("r3"), Tokens: 60000}, {Key: 12345, Tokens: 1}})
		require.InDelta(t, 70000, y.b["r4"].others(time.Now()), 1)
		require.InDelta(t, 10000, b.others(time.Now()), 1)
		time.Sleep(deckSpan / 2)
		require.InDelta(t, 35000, y.b["r4"].others(time.Now()), 1)
		y.Hear(nil)
		require.Zero(t, y.b["r4"].others(time.Now()))
	})
}
