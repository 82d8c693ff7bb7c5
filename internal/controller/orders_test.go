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

func changeTo(base, revision int64, text string) *adminapi.ChangeRequest {
	return &adminapi.ChangeRequest{
		Kind: state.Patch,
		Base: base,
		Body: []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"x":%q}}`, revision, text)),
	}
}

// taken gives the view after orders that are all taken.
func taken(t *testing.T, orders ...*adminapi.ChangeRequest) *state.View {
	t.Helper()
	b := state.NewOrderStore()
	for _, o := range orders {
		entry, err := decideOn(b.View(), eventOf(o))
		require.NoError(t, err)
		require.NotNil(t, entry)
		require.NoError(t, b.Update(entry))
	}
	return b.View()
}

func TestOrdersAreDecidedByWhatWasTakenOnTheirVersion(t *testing.T) {
	view := taken(t, changeTo(0, 5, "a"), changeTo(5, 7, "b"))
	for _, x := range []struct {
		name  string
		order *adminapi.ChangeRequest
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
		entry, err := decideOn(view, eventOf(x.order))
		require.Equal(t, x.kind, errkind.KindOf(err), x.name)
		require.Equal(t, x.entry, entry != nil, x.name)
	}
}

func TestAnOrderOlderThanTheMemoryIsUnclear(t *testing.T) {
	b := state.NewStore(false) // it keeps no memory, as a checkpoint of an older version
	require.NoError(t, b.Update(eventOf(changeTo(0, 5, "a")).Encode()))
	newer := state.NewOrderStore()
	require.NoError(t, newer.Restore(b.Snapshot()))
	for _, o := range []*adminapi.ChangeRequest{changeTo(0, 5, "a"), changeTo(0, 5, "lost")} {
		_, err := decideOn(newer.View(), eventOf(o))
		require.Equal(t, errkind.Unavailable, errkind.KindOf(err))
	}
}

func TestTwoEntriesForOneVersionAcknowledgeOneOrder(t *testing.T) {
	first, second := eventOf(changeTo(0, 5, "a")), eventOf(changeTo(0, 6, "b"))
	b := state.NewOrderStore()
	for _, e := range []*state.Event{first, second} {
		entry, err := decideOn(state.NewOrderStore().View(), e) // both were decided on the same state
		require.NoError(t, err)
		b.Apply(entry)
	}
	require.Equal(t, int64(5), b.View().Config.Revision)
	require.False(t, anotherWon(b.View(), first))
	require.True(t, anotherWon(b.View(), second))
}

func TestEvacuationsAreInForceOrNot(t *testing.T) {
	evacuate := &adminapi.ChangeRequest{Kind: state.Evacuate, Zone: "a"}
	back := &adminapi.ChangeRequest{Kind: state.Return, Zone: "a"}
	view := taken(t, evacuate)
	entry, err := decideOn(view, eventOf(evacuate))
	require.NoError(t, err)
	require.Nil(t, entry)
	view = taken(t, evacuate, back)
	entry, err = decideOn(view, eventOf(back))
	require.NoError(t, err)
	require.Nil(t, entry)
}

func TestNothingPastItsTimeIsDecided(t *testing.T) {
	o := changeTo(0, 5, "a")
	o.Deadline = time.Unix(100, 0)
	require.False(t, o.Expired(time.Unix(99, 0)))
	require.True(t, o.Expired(time.Unix(100, 0)))
}
