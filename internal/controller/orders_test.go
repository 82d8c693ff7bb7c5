package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

func changeTo(base, revision int64, text string) state.ConfigEvent {
	return state.NewPatchConfig(base, []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"x":%q}}`, revision, text)))
}

// committed gives the view after events that are all committed.
func committed(t *testing.T, events ...state.Event) *state.View {
	t.Helper()
	b := state.NewStore(state.Options{History: true})
	for _, o := range events {
		entry, err := decideOn(b.View(), o)
		require.NoError(t, err)
		require.NotNil(t, entry)
		require.NoError(t, b.Update(entry))
	}
	return b.View()
}

func TestOrdersAreDecidedByWhatWasTakenOnTheirVersion(t *testing.T) {
	view := committed(t, changeTo(0, 5, "a"), changeTo(5, 7, "b"))
	for _, x := range []struct {
		name  string
		event state.Event
		kind  errkind.Kind
		entry bool
	}{
		{"the next", changeTo(7, 8, "c"), errkind.None, true},
		{"the newest again", changeTo(5, 7, "b"), errkind.None, false},
		{"an older one again", changeTo(0, 5, "a"), errkind.None, false},
		{"one that lost", changeTo(5, 7, "other"), errkind.VersionConflict, false},
		{"on a version that never was", changeTo(6, 8, "c"), errkind.VersionConflict, false},
		{"on a version to come", changeTo(9, 10, "c"), errkind.VersionConflict, false},
		{"with a number that is not above", changeTo(7, 7, "c"), errkind.InvalidInput, false},
	} {
		entry, err := decideOn(view, x.event)
		require.Equal(t, x.kind, kindOf(err), x.name)
		require.Equal(t, x.entry, entry != nil, x.name)
	}
}

func TestAnOrderOlderThanTheMemoryIsUnclear(t *testing.T) {
	b := state.NewStore(state.Options{}) // it keeps no memory, as a checkpoint of an older version
	require.NoError(t, b.Update(state.EncodeEvent(changeTo(0, 5, "a"))))
	newer := state.NewStore(state.Options{History: true})
	require.NoError(t, newer.Restore(b.Snapshot()))
	for _, o := range []state.Event{changeTo(0, 5, "a"), changeTo(0, 5, "lost")} {
		_, err := decideOn(newer.View(), o)
		require.Equal(t, errkind.Unavailable, kindOf(err))
	}
}

func TestTwoEntriesForOneVersionAcknowledgeOneOrder(t *testing.T) {
	first, second := changeTo(0, 5, "a"), changeTo(0, 6, "b")
	b := state.NewStore(state.Options{History: true})
	for _, e := range []state.Event{first, second} {
		entry, err := decideOn(state.NewStore(state.Options{History: true}).View(), e) // both were decided on the same state
		require.NoError(t, err)
		b.Apply(entry)
	}
	require.Equal(t, int64(5), b.View().Config.Revision)
	require.False(t, superseded(b.View(), first))
	require.True(t, superseded(b.View(), second))
}

func TestEvacuationsAreInForceOrNot(t *testing.T) {
	evacuate := state.EvacuateZone{Zone: "a"}
	back := state.ReadmitZone{Zone: "a"}
	view := committed(t, evacuate)
	entry, err := decideOn(view, evacuate)
	require.NoError(t, err)
	require.Nil(t, entry)
	view = committed(t, evacuate, back)
	entry, err = decideOn(view, back)
	require.NoError(t, err)
	require.Nil(t, entry)
}

func TestNothingPastItsTimeIsDecided(t *testing.T) {
	o := &adminapi.ChangeRequest{Event: changeTo(0, 5, "a"), Deadline: time.Unix(100, 0)}
	require.False(t, o.Expired(time.Unix(99, 0)))
	require.True(t, o.Expired(time.Unix(100, 0)))
}
