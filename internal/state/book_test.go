package state

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
)

func doc(rev string) []byte {
	return []byte(`{"revision":` + rev + `,"route_table":[{"name":"a","hostname":"h","path_prefix":"/","timeout_ms":1,"backend_pool":"s","x":1.0}],"backend_pools":[{"name":"s"}]}`)
}

func TestTheViewIsTheJournalFolded(t *testing.T) {
	b := NewOrderStore()
	seen := 0
	b.OnChange(func(_, _ *View, _ *Event) { seen++ })
	for _, e := range []*Event{
		{Kind: Put, Body: doc("3")}, {Kind: Patch, Base: 3, Body: []byte(`{"revision":4,"remove":{"route_table":["a"]}}`)},
		{Kind: Evacuate, Zone: "z"}, {Kind: Evacuate, Zone: "y"}, {Kind: Return, Zone: "z"},
		{Kind: List, Replicas: []*Replica{{ID: "1"}, {ID: "2"}}}, {Kind: List, Gone: []string{"1"}},
		{Kind: Fleet, Size: 2, Nodes: []string{"n", "m"}}, {Kind: Controllers, Controllers: []Controller{{"a", "z"}}},
	} {
		require.NoError(t, b.Update(e.Encode()))
	}
	require.Equal(t, 9, seen)
	require.Error(t, b.Update([]byte("nonsense")))
	require.Error(t, b.Update((&Event{Kind: "unknown"}).Encode()))
	require.Error(t, b.Update((&Event{Kind: Put, Base: 4, Body: doc("2")}).Encode()))
	require.Error(t, b.Update((&Event{Kind: Put, Body: doc("5")}).Encode()), "another version was built on")
	require.Equal(t, 9, seen, "what can't be folded changes nothing")
	v := b.View()
	require.Equal(t, int64(4), v.Config.Revision)
	require.Equal(t, map[string]bool{"y": true}, v.Evacuated)
	require.Len(t, v.Replicas, 1)
	require.True(t, v.ReplicasKnown)
	c := NewOrderStore()
	require.NoError(t, c.Restore(b.Snapshot()))
	require.Equal(t, string(b.Snapshot()), string(c.Snapshot()))
	require.Equal(t, v.History, c.View().History)
	require.Error(t, c.Restore([]byte("nonsense")))
}

func TestAGuardedBookNeverGoesBack(t *testing.T) {
	old, now := NewStore(false), NewStore(true)
	old.Update((&Event{Kind: Put, Body: doc("3")}).Encode())
	now.Update((&Event{Kind: Put, Body: doc("5")}).Encode())
	now.Update((&Event{Kind: List, Replicas: []*Replica{{ID: "1"}}}).Encode())
	require.NoError(t, now.Restore(old.Snapshot()))
	require.Equal(t, int64(5), now.View().Config.Revision)
	require.Len(t, now.View().Replicas, 1, "a source that has no list yet empties nothing")
}

func TestFleetEventsCarryWhatChangedAndFoldToTheWhole(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	b := NewStore(true)
	have := map[string]bool{}
	bytes := 0
	for round := range 400 {
		var to []string
		for i := range 390 {
			n := fmt.Sprintf("10.1.%d.%d:7722", i/200, i%200)
			p := 0.01
			if round%50 == 0 {
				p = 0.7 // most at once
			}
			if r.Float64() < p {
				have[n] = !have[n]
			}
			if have[n] {
				to = append(to, n)
			}
		}
		sort.Strings(to)
		e := FleetEvent(b.View().Nodes, to).Encode()
		if round%50 != 0 {
			bytes += len(e)
		}
		b.Update(e)
		require.Equal(t, to, b.View().Nodes)
		require.Equal(t, len(to), b.View().FleetSize)
	}
	require.Less(t, bytes/400, 300, "some four of 390 change at a time")
}

func TestOnlyEventsThatPlaceReplicasRemakeWhatIsDerivedFromThem(t *testing.T) {
	for _, k := range []string{Put, Patch, Fleet, Controllers} {
		require.False(t, (&Event{Kind: k}).ChangesPlacement(), k)
	}
	for _, k := range []string{List, Evacuate, Return} {
		require.True(t, (&Event{Kind: k}).ChangesPlacement(), k)
	}
	require.True(t, (*Event)(nil).ChangesPlacement(), "a checkpoint")
}
