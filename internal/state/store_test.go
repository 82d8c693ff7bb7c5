package state

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/config"
)

// configuration gives the body of a complete configuration.
func configuration(revision string) []byte {
	return []byte(`{"revision":` + revision + `,"route_table":[{"name":"a","hostname":"h","path_prefix":"/","timeout_ms":1,"backend_pool":"s","x":1.0}],"backend_pools":[{"name":"s"}]}`)
}

// update applies events that must be applicable.
func update(t *testing.T, store *Store, events ...Event) {
	t.Helper()
	for _, event := range events {
		require.NoError(t, store.Update(EncodeEvent(event)), "%T", event)
	}
}

func TestStore_Events_MakeTheView(t *testing.T) {
	store := NewStore(Options{History: true})
	changes := 0
	store.OnChange(func(_, _ *View, _ Event) { changes++ })
	update(t, store,
		PutConfig{ConfigChange{Body: configuration("3")}},
		PatchConfig{ConfigChange{Base: 3, Body: []byte(`{"revision":4,"remove":{"route_table":["a"]}}`)}},
		EvacuateZone{Zone: "z"}, EvacuateZone{Zone: "y"}, ReadmitZone{Zone: "z"},
		UpdateReplicas{Changed: []*Replica{{ID: "1"}, {ID: "2"}}}, UpdateReplicas{Removed: []string{"1"}},
		UpdateFleet{Size: 2, Nodes: []string{"n", "m"}}, UpdateControllers{Controllers: []Controller{{"a", "z"}}},
	)
	require.Equal(t, 9, changes)

	require.Error(t, store.Update([]byte("nonsense")))
	var unknown *UnknownKindError
	require.ErrorAs(t, store.Update([]byte(`{"k":"unknown"}`)), &unknown)
	require.Equal(t, Kind("unknown"), unknown.Kind)
	var invalid *config.InvalidError
	require.ErrorAs(t, store.Update(EncodeEvent(PutConfig{ConfigChange{Base: 4, Body: configuration("2")}})), &invalid)
	var conflict *RevisionConflictError
	require.ErrorAs(t, store.Update(EncodeEvent(PutConfig{ConfigChange{Body: configuration("5")}})), &conflict, "another version was built on")
	require.Equal(t, RevisionConflictError{Base: 0, Current: 4}, *conflict)
	require.Equal(t, 9, changes, "what can't be applied changes nothing")

	view := store.View()
	require.Equal(t, int64(4), view.Config.Revision)
	require.Equal(t, map[string]bool{"y": true}, view.Evacuated)
	require.Len(t, view.Replicas, 1)
	require.True(t, view.ReplicasKnown)

	restored := NewStore(Options{History: true})
	require.NoError(t, restored.Restore(store.Snapshot()))
	require.Equal(t, string(store.Snapshot()), string(restored.Snapshot()))
	require.Equal(t, view.History, restored.View().History)
	require.Error(t, restored.Restore([]byte("nonsense")))
}

func TestStore_Monotonic_NeverGoesBack(t *testing.T) {
	older, newer := NewStore(Options{}), NewStore(Options{Monotonic: true})
	update(t, older, PutConfig{ConfigChange{Body: configuration("3")}})
	update(t, newer, PutConfig{ConfigChange{Body: configuration("5")}}, UpdateReplicas{Changed: []*Replica{{ID: "1"}}})
	require.NoError(t, newer.Restore(older.Snapshot()))
	require.Equal(t, int64(5), newer.View().Config.Revision)
	require.Len(t, newer.View().Replicas, 1, "a source that has no list yet empties nothing")
}

func TestUpdateFleet_ManyChanges_AreSmallAndGiveAllNodes(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	store := NewStore(Options{Monotonic: true})
	present := map[string]bool{}
	bytes := 0
	for round := range 400 {
		var nodes []string
		for i := range 390 {
			node := fmt.Sprintf("10.1.%d.%d:7722", i/200, i%200)
			probability := 0.01
			if round%50 == 0 {
				probability = 0.7 // most at once
			}
			if random.Float64() < probability {
				present[node] = !present[node]
			}
			if present[node] {
				nodes = append(nodes, node)
			}
		}
		sort.Strings(nodes)
		event := EncodeEvent(NewUpdateFleet(store.View().Nodes, nodes))
		if round%50 != 0 {
			bytes += len(event)
		}
		require.NoError(t, store.Update(event))
		require.Equal(t, nodes, store.View().Nodes)
		require.Equal(t, len(nodes), store.View().FleetSize)
	}
	require.Less(t, bytes/400, 300, "some four of 390 change at a time")
}

func TestChangesPlacement(t *testing.T) {
	for _, x := range []struct {
		name  string
		event Event
		want  bool
	}{
		{"put", PutConfig{}, false},
		{"patch", PatchConfig{}, false},
		{"fleet", UpdateFleet{}, false},
		{"controllers", UpdateControllers{}, false},
		{"suspects", UpdateSuspects{}, false},
		{"replicas", UpdateReplicas{}, true},
		{"evacuate", EvacuateZone{}, true},
		{"readmit", ReadmitZone{}, true},
		{"snapshot", nil, true},
	} {
		require.Equal(t, x.want, ChangesPlacement(x.event), x.name)
	}
}
