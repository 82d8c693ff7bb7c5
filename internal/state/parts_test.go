package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/distribution"
)

// largeView is a view of a fleet with so many replicas in five zones.
func largeView(t *testing.T, replicas int) *View {
	t.Helper()
	view := EmptyView()
	document, err := view.Config.Put([]byte(`{"revision":4,"route_table":[],"backend_pools":[{"name":"s"}]}`))
	require.NoError(t, err)
	view.Config = document
	view.Evacuated = map[string]bool{"zone-2": true, "zone-1": true}
	view.ReplicasKnown, view.FleetSize = true, 300
	for i := range 300 {
		view.Nodes = append(view.Nodes, fmt.Sprintf("10.%d.0.%d:7722", i/100, 100+i%100))
	}
	view.Controllers = []Controller{{Address: "10.1.0.3:7720", Zone: "zone-1"}, {Address: "10.2.0.3:7720", Zone: "zone-2"}}
	for i := range replicas {
		replica := &Replica{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Pool: "s", Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i%5, i/250, i%250),
			Zone: fmt.Sprint("zone-", i%5), SoftwareRevision: "v1", Slots: 16, State: ReplicaReady, Stage: "dual", Models: []Model{{"m", 1}},
		}
		if i%17 == 0 {
			replica.State, replica.WarmupLeftMs = "draining", 12.5
		}
		if i%29 == 0 {
			replica.Pool, replica.Stage, replica.Models = "other", "", nil
		}
		view.Replicas[replica.ID] = replica
	}
	return view
}

// storeOf makes a follower's store with a view.
func storeOf(view *View) *Store {
	store := NewStore(Options{Monotonic: true})
	store.view.Store(view)
	return store
}

func TestStore_RestoreParts_GivesTheSameView(t *testing.T) {
	for _, view := range []*View{EmptyView(), largeView(t, 0), largeView(t, 161), largeView(t, 3000)} {
		parts := storeOf(view).Parts()
		require.Equal(t, parts, storeOf(view).Parts(), "equal views give equal parts")
		store := NewStore(Options{})
		require.NoError(t, store.RestoreParts(parts))
		require.Equal(t, view.Replicas, store.View().Replicas)
		require.Equal(t, view.Config.JSON(), store.View().Config.JSON())
		require.Equal(t, view.Evacuated, store.View().Evacuated)
		require.Equal(t, view.Nodes, store.View().Nodes)
		require.Equal(t, view.Controllers, store.View().Controllers)
		require.Equal(t, view.FleetSize, store.View().FleetSize)
		require.Equal(t, view.ReplicasKnown, store.View().ReplicasKnown)
		require.Equal(t, parts, store.Parts())
	}
}

func TestStore_RestorePartsOfAnEqualConfiguration_KeepsIt(t *testing.T) {
	store := storeOf(largeView(t, 10))
	before := store.View().Config
	require.NoError(t, store.RestoreParts(storeOf(largeView(t, 20)).Parts()))
	require.Same(t, before, store.View().Config, "what was compiled from it stays valid")
	require.Len(t, store.View().Replicas, 20)
}

func TestStore_RestoreParts_IsBoundByItsOptions(t *testing.T) {
	older, newer := EmptyView(), largeView(t, 3)
	monotonic := storeOf(newer)
	require.NoError(t, monotonic.RestoreParts(storeOf(older).Parts()))
	require.Equal(t, int64(4), monotonic.View().Config.Revision)
	require.Len(t, monotonic.View().Replicas, 3)
	free := NewStore(Options{History: true})
	require.NoError(t, free.RestoreParts(storeOf(newer).Parts()))
	require.NoError(t, free.RestoreParts(storeOf(older).Parts()))
	require.Zero(t, free.View().Config.Revision)
	require.NotNil(t, free.View().History)
}

func TestStore_UnusableParts_ChangeNothing(t *testing.T) {
	replace := func(name string, content []byte) func([]distribution.Part) []distribution.Part {
		return func(parts []distribution.Part) []distribution.Part {
			for i := range parts {
				if parts[i].Name == name {
					parts[i].Content = content
				}
			}
			return parts
		}
	}
	for name, x := range map[string]struct {
		change func([]distribution.Part) []distribution.Part
		part   string
		want   error // nil: any
	}{
		"unknown part": {func(parts []distribution.Part) []distribution.Part {
			return append(parts, distribution.Part{Name: "tenants"})
		}, "tenants", ErrUnknownPart},
		"missing part":          {func(parts []distribution.Part) []distribution.Part { return parts[1:] }, configurationPart, ErrMissingPart},
		"configuration":         {replace(configurationPart, []byte("\x0a\x02no")), configurationPart, nil},
		"configuration's frame": {replace(configurationPart, []byte{0xff}), configurationPart, nil},
		"controllers":           {replace(controllersPart, []byte{0xff}), controllersPart, nil},
		"evacuations":           {replace(evacuationsPart, []byte{0xff}), evacuationsPart, nil},
		"fleet":                 {replace(fleetPart, []byte{0xff}), fleetPart, nil},
		"listing":               {replace(listingPart, []byte{0xff}), listingPart, nil},
		"replicas":              {replace("replicas/zone-1", []byte{0xff}), "replicas/zone-1", nil},
		"an id without address": {replace("replicas/zone-1", []byte("\x0a\x03\x42\x01x")), "replicas/zone-1", nil},
	} {
		store := storeOf(largeView(t, 9))
		before := store.View()
		err := store.RestoreParts(x.change(storeOf(largeView(t, 9)).Parts()))
		var partError *PartError
		require.ErrorAs(t, err, &partError, name)
		require.Equal(t, x.part, partError.Part, name)
		if x.want != nil {
			require.ErrorIs(t, err, x.want, name)
		}
		require.Same(t, before, store.View(), name)
	}
}

func TestView_AddressThatIsNoText_StaysAPart(t *testing.T) {
	view := EmptyView()
	view.Nodes = []string{"10.0.0.1:7722", "\xff\xfe"}
	view.Controllers = []Controller{{Address: "\xff", Zone: "zone-1"}}
	store := NewStore(Options{})
	require.NoError(t, store.RestoreParts(storeOf(view).Parts()))
	require.Len(t, store.View().Nodes, 2)
	require.Len(t, store.View().Controllers, 1)
	require.True(t, strings.HasPrefix(store.View().Nodes[0], "10."))
}

// BenchmarkView_Parts measures what a source spends on a snapshot, and its size, beside the form as one JSON text.
func BenchmarkView_Parts(b *testing.B) {
	view := EmptyView()
	for i := range 3000 {
		id := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		view.Replicas[id] = &Replica{
			ID: id, Pool: "trestle-llm", Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i%5, i/250, i%250),
			Zone: fmt.Sprint("zone-", i%5), SoftwareRevision: "v1", Slots: 16, State: ReplicaReady, Stage: "dual", Models: []Model{{"m", 1}},
		}
	}
	b.Run("parts", func(b *testing.B) {
		bytes := 0
		for b.Loop() {
			bytes = 0
			for _, part := range view.parts() {
				bytes += len(part.Content)
			}
		}
		b.ReportMetric(float64(bytes)/float64(len(view.Replicas)), "bytes/replica")
	})
	b.Run("json", func(b *testing.B) {
		bytes := 0
		for b.Loop() {
			bytes = len(view.Encode())
		}
		b.ReportMetric(float64(bytes)/float64(len(view.Replicas)), "bytes/replica")
	})
	parts := storeOf(view).Parts()
	b.Run("restore parts", func(b *testing.B) {
		store := NewStore(Options{})
		for b.Loop() {
			_ = store.RestoreParts(parts)
		}
	})
	encoded := view.Encode()
	b.Run("restore json", func(b *testing.B) {
		store := NewStore(Options{})
		for b.Loop() {
			_ = store.Restore(encoded)
		}
	})
}
