package state

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// namedEvent is an event with the name of its record.
type namedEvent struct {
	name  string
	event *Event
}

// recordedEvents are events of each kind; each field is set in one of them. They can be folded in this order.
func recordedEvents() []namedEvent {
	full := &Replica{
		ID: "replica-1", Pool: "s", Address: "10.0.1.1:8000", Zone: "zone-1", SoftwareRevision: "build-7", Slots: 12, State: "ready",
		WarmupLeftMs: 1500.5, Stage: "prefill", Models: []Model{{Name: "model-1", Revision: 8}, {Name: "model-2", Revision: 9}},
	}
	patch := []byte(`{"revision":4,"upsert":{"unknown_key":{"kept":[1,2.50,"x"]}}}`)
	return []namedEvent{
		{"01-put", OrderEvent(Put, 0, doc("3"))},
		{"02-patch", OrderEvent(Patch, 3, patch)},
		{"03-patch-without-digest", &Event{Kind: Patch, Base: 4, Body: []byte(`{"revision":6,"upsert":{"later":1}}`)}},
		{"04-evacuate", &Event{Kind: Evacuate, Zone: "zone-1"}},
		{"05-evacuate-another", &Event{Kind: Evacuate, Zone: "zone-2"}},
		{"06-return", &Event{Kind: Return, Zone: "zone-1"}},
		{"07-list", &Event{Kind: List, Replicas: []*Replica{full, {ID: "replica-2", Pool: "s"}}}},
		{"08-list-gone", &Event{Kind: List, Gone: []string{"replica-2"}}},
		{"09-fleet", &Event{Kind: Fleet, Size: 3, Nodes: []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"}}},
		{"10-fleet-change", &Event{Kind: Fleet, Size: 3, Nodes: []string{"10.0.0.4:7720"}, Gone: []string{"10.0.0.2:7720"}, Delta: true}},
		{"11-houses", &Event{Kind: Controllers, Controllers: []Controller{{"10.0.0.1:7721", "zone-1"}, {"10.0.0.2:7721", "zone-2"}}}},
		{"12-health", &Event{Kind: Health, Suspects: []string{"replica-1", "replica-3"}}},
	}
}

// TestEvent_RecordedBytes_ReadAndWrittenAsBefore holds the form of events on disk and in updates.
func TestEvent_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/events.txt")
	for _, x := range recordedEvents() {
		got := &Event{}
		require.NoError(t, json.Unmarshal(recording.Same(x.name, x.event.Encode()), got), x.name)
		require.Equal(t, x.event, got, x.name)
	}
}

// TestBook_RecordedCheckpoints_ReadAndWrittenAsBefore folds the events one after the other and holds the form of the
// checkpoint after each, with the memory of orders and without.
func TestBook_RecordedCheckpoints_ReadAndWrittenAsBefore(t *testing.T) {
	for _, x := range []struct {
		path  string
		fresh func() *Store
	}{
		{"testdata/checkpoints-with-orders.txt", NewOrderStore},
		{"testdata/checkpoints-without-orders.txt", func() *Store { return NewStore(true) }},
	} {
		recording := recordedtest.Open(t, x.path)
		b := x.fresh()
		restored := x.fresh()
		require.NoError(t, restored.Restore(recording.Same("00-empty", b.Snapshot())))
		require.Equal(t, b.View(), restored.View())
		for _, e := range recordedEvents() {
			require.NoError(t, b.Update(e.event.Encode()), e.name)
			checkpoint := b.Snapshot()
			if len(b.View().Evacuated) > 1 || len(b.View().Replicas) > 1 { // written in any order
				checkpoint = recording.Bytes(e.name)
			}
			restored := x.fresh()
			require.NoError(t, restored.Restore(recording.Same(e.name, checkpoint)), e.name)
			require.Equal(t, b.View(), restored.View(), e.name)
		}
	}
}

// TestBook_CheckpointOfAnotherMemory_IsRead crosses checkpoints with and without the memory of orders.
func TestBook_CheckpointOfAnotherMemory_IsRead(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/last-checkpoints.txt")
	b, guarded := NewOrderStore(), NewStore(true)
	for _, x := range recordedEvents() {
		require.NoError(t, b.Update(x.event.Encode()))
		require.NoError(t, guarded.Update(x.event.Encode()))
	}
	with := recording.Same("with-orders", b.Snapshot())
	without := recording.Same("without-orders", guarded.Snapshot())
	follower := NewStore(true)
	require.NoError(t, follower.Restore(with))
	require.Nil(t, follower.View().History)
	require.Equal(t, without, follower.Snapshot())
	decides := NewOrderStore()
	require.NoError(t, decides.Restore(without))
	require.Equal(t, OutcomeUnknown, decides.View().Outcome(recordedEvents()[0].event))
	require.NoError(t, decides.Restore(with))
	for _, x := range recordedEvents()[:3] {
		require.Equal(t, OutcomeCommitted, decides.View().Outcome(x.event), x.name)
	}
}
