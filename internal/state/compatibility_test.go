package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// namedEvent is an event with the name of its record.
type namedEvent struct {
	name  string
	event Event
}

// recordedEvents are events of each kind; each field is set in one of them. They can be applied in this order.
func recordedEvents() []namedEvent {
	full := &Replica{
		ID: "replica-1", Pool: "s", Address: "10.0.1.1:8000", Zone: "zone-1", SoftwareRevision: "build-7", Slots: 12, State: "ready",
		WarmupLeftMs: 1500.5, Stage: "prefill", Models: []Model{{Name: "model-1", Revision: 8}, {Name: "model-2", Revision: 9}},
	}
	patch := []byte(`{"revision":4,"upsert":{"unknown_key":{"kept":[1,2.50,"x"]}}}`)
	return []namedEvent{
		{"01-put", NewPutConfig(0, configuration("3"))},
		{"02-patch", NewPatchConfig(3, patch)},
		{"03-patch-without-digest", PatchConfig{ConfigChange{Base: 4, Body: []byte(`{"revision":6,"upsert":{"later":1}}`)}}},
		{"04-evacuate", EvacuateZone{Zone: "zone-1"}},
		{"05-evacuate-another", EvacuateZone{Zone: "zone-2"}},
		{"06-return", ReadmitZone{Zone: "zone-1"}},
		{"07-list", UpdateReplicas{Changed: []*Replica{full, {ID: "replica-2", Pool: "s"}}}},
		{"08-list-gone", UpdateReplicas{Removed: []string{"replica-2"}}},
		{"09-fleet", UpdateFleet{Size: 3, Nodes: []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"}}},
		{"10-fleet-change", UpdateFleet{Size: 3, Nodes: []string{"10.0.0.4:7720"}, Removed: []string{"10.0.0.2:7720"}, Incremental: true}},
		{"11-houses", UpdateControllers{Controllers: []Controller{{"10.0.0.1:7721", "zone-1"}, {"10.0.0.2:7721", "zone-2"}}}},
		{"12-health", UpdateSuspects{Replicas: []string{"replica-1", "replica-3"}}},
	}
}

// TestEvent_RecordedBytes_ReadAndWrittenAsBefore pins the form of events on disk and in updates.
func TestEvent_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/events.txt")
	for _, x := range recordedEvents() {
		got, err := DecodeEvent(recording.Same(x.name, EncodeEvent(x.event)))
		require.NoError(t, err, x.name)
		require.Equal(t, x.event, got, x.name)
	}
}

// TestStore_RecordedSnapshots_ReadAndWrittenAsBefore applies the events one after the other and pins the form of the
// snapshot after each, with a history and without.
func TestStore_RecordedSnapshots_ReadAndWrittenAsBefore(t *testing.T) {
	for _, x := range []struct {
		path    string
		options Options
	}{
		{"testdata/checkpoints-with-orders.txt", Options{History: true}},
		{"testdata/checkpoints-without-orders.txt", Options{Monotonic: true}},
	} {
		recording := recordedtest.Open(t, x.path)
		store := NewStore(x.options)
		restored := NewStore(x.options)
		require.NoError(t, restored.Restore(recording.Same("00-empty", store.Snapshot())))
		require.Equal(t, store.View(), restored.View())
		for _, e := range recordedEvents() {
			require.NoError(t, store.Update(EncodeEvent(e.event)), e.name)
			snapshot := store.Snapshot()
			if len(store.View().Evacuated) > 1 || len(store.View().Replicas) > 1 { // written in any order
				snapshot = recording.Bytes(e.name)
			}
			restored := NewStore(x.options)
			require.NoError(t, restored.Restore(recording.Same(e.name, snapshot)), e.name)
			require.Equal(t, store.View(), restored.View(), e.name)
		}
	}
}

// TestStore_SnapshotOfOtherOptions_IsRead crosses snapshots with and without a history.
func TestStore_SnapshotOfOtherOptions_IsRead(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/last-checkpoints.txt")
	replicated, followed := NewStore(Options{History: true}), NewStore(Options{Monotonic: true})
	for _, x := range recordedEvents() {
		require.NoError(t, replicated.Update(EncodeEvent(x.event)))
		require.NoError(t, followed.Update(EncodeEvent(x.event)))
	}
	with := recording.Same("with-orders", replicated.Snapshot())
	without := recording.Same("without-orders", followed.Snapshot())
	follower := NewStore(Options{Monotonic: true})
	require.NoError(t, follower.Restore(with))
	require.Nil(t, follower.View().History)
	require.Equal(t, without, follower.Snapshot())
	decides := NewStore(Options{History: true})
	require.NoError(t, decides.Restore(without))
	require.Equal(t, OutcomeUnknown, decides.View().Outcome(recordedEvents()[0].event.(ConfigEvent)))
	require.NoError(t, decides.Restore(with))
	for _, x := range recordedEvents()[:3] {
		require.Equal(t, OutcomeCommitted, decides.View().Outcome(x.event.(ConfigEvent)), x.name)
	}
}
