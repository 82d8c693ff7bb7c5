package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// changeTo is a patch on revision base that makes another revision.
func changeTo(base, revision int64, text string) state.ConfigEvent {
	return state.NewPatchConfig(base, []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"x":%q}}`, revision, text)))
}

// newReplicatedStore makes a store as that of the replicated state.
func newReplicatedStore() *state.Store { return state.NewStore(state.Options{History: true}) }

// committed gives the view after events that are all committed.
func committed(t *testing.T, events ...state.Event) *state.View {
	t.Helper()
	store := newReplicatedStore()
	for _, event := range events {
		entry, err := decideOn(store.View(), event)
		require.NoError(t, err)
		require.NotNil(t, entry)
		require.NoError(t, store.Update(entry))
	}
	return store.View()
}

func TestDecideOn_Changes_ByWhatWasCommittedOnTheirRevision(t *testing.T) {
	view := committed(t, changeTo(0, 5, "a"), changeTo(5, 7, "b"))
	for _, x := range []struct {
		name      string
		event     state.Event
		wantKind  errkind.Kind
		wantEntry bool
	}{
		{"the next", changeTo(7, 8, "c"), errkind.None, true},
		{"the newest again", changeTo(5, 7, "b"), errkind.None, false},
		{"an older one again", changeTo(0, 5, "a"), errkind.None, false},
		{"one that lost", changeTo(5, 7, "other"), errkind.VersionConflict, false},
		{"on a revision that never was", changeTo(6, 8, "c"), errkind.VersionConflict, false},
		{"on a revision to come", changeTo(9, 10, "c"), errkind.VersionConflict, false},
		{"with a revision that is not above", changeTo(7, 7, "c"), errkind.InvalidInput, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			entry, err := decideOn(view, x.event)
			require.Equal(t, x.wantKind, kindOf(err))
			require.Equal(t, x.wantEntry, entry != nil)
		})
	}
}

func TestDecideOn_ChangeOlderThanTheHistory_IsUnknown(t *testing.T) {
	withoutHistory := state.NewStore(state.Options{}) // as a snapshot of an older version
	require.NoError(t, withoutHistory.Update(state.EncodeEvent(changeTo(0, 5, "a"))))
	restored := newReplicatedStore()
	require.NoError(t, restored.Restore(withoutHistory.Snapshot()))
	for _, event := range []state.Event{changeTo(0, 5, "a"), changeTo(0, 5, "lost")} {
		_, err := decideOn(restored.View(), event)
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		require.Equal(t, int64(0), unknown.Base)
		require.Equal(t, errkind.Unavailable, kindOf(err))
	}
}

func TestSuperseded_TwoEntriesForOneRevision_OneIsAcknowledged(t *testing.T) {
	first, second := changeTo(0, 5, "a"), changeTo(0, 6, "b")
	store := newReplicatedStore()
	for _, event := range []state.Event{first, second} {
		entry, err := decideOn(newReplicatedStore().View(), event) // both were decided on the same state
		require.NoError(t, err)
		store.Apply(entry)
	}
	require.Equal(t, int64(5), store.View().Config.Revision)
	require.False(t, superseded(store.View(), first))
	require.True(t, superseded(store.View(), second))
}

func TestDecideOn_EvacuationInForceAlready_HasNoEntry(t *testing.T) {
	evacuate, readmit := state.EvacuateZone{Zone: "a"}, state.ReadmitZone{Zone: "a"}
	for _, x := range []struct {
		name  string
		view  *state.View
		event state.Event
	}{
		{"evacuated", committed(t, evacuate), evacuate},
		{"readmitted", committed(t, evacuate, readmit), readmit},
	} {
		entry, err := decideOn(x.view, x.event)
		require.NoError(t, err, x.name)
		require.Nil(t, entry, x.name)
	}
}

func TestChangeRequest_PastItsDeadline_IsExpired(t *testing.T) {
	request := &adminapi.ChangeRequest{Event: changeTo(0, 5, "a"), Deadline: time.Unix(100, 0)}
	require.False(t, request.Expired(time.Unix(99, 0)))
	require.True(t, request.Expired(time.Unix(100, 0)))
}

// TestCommit_MalformedBody_RejectedWithoutProposal gives a controller without a member a body that can't be read: the state
// is not asked.
func TestCommit_MalformedBody_RejectedWithoutProposal(t *testing.T) {
	c := newCheckedController(t)
	for _, body := range []string{"", "[1]", `{"revision":7`, `{"revision":7,"revision":8}`, `{"revision":7,"x":` + strings.Repeat("[", 100_000)} {
		for _, event := range []state.Event{state.NewPutConfig(5, []byte(body)), state.NewPatchConfig(5, []byte(body))} {
			err := c.Commit(t.Context(), &adminapi.ChangeRequest{Event: event, Deadline: time.Now().Add(time.Second)})
			require.Equal(t, errkind.InvalidInput, errkind.KindOf(err), "%.30s", body)
		}
	}
}
