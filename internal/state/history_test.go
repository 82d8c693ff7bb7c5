package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// change is a patch on a revision that makes another one.
func change(base, revision int64, text string) PatchConfig {
	return NewPatchConfig(base, []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"x":%q}}`, revision, text)))
}

func TestHistory_Repeat_IsKnownUpToTheLimitAndUnknownBeyond(t *testing.T) {
	const many = 3 * historyLimit
	store := NewStore(Options{History: true})
	random := rand.New(rand.NewPCG(1, 1))
	var committed, lost []PatchConfig
	for base := int64(0); len(committed) < many; {
		next := base + 1 + random.Int64N(5)
		committed = append(committed, change(base, next, "won"))
		lost = append(lost, change(base, next, "lost"))
		require.NoError(t, store.Update(EncodeEvent(committed[len(committed)-1])))
		base = next
		if len(committed)%100 == 0 { // a restart of all from a snapshot
			restored := NewStore(Options{History: true})
			require.NoError(t, restored.Restore(store.Snapshot()))
			store = restored
		}
	}
	view := store.View()
	for i := range committed {
		remembered := i >= many-historyLimit
		want := map[bool]Outcome{true: OutcomeCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, view.Outcome(committed[i]), "%d", i)
		want = map[bool]Outcome{true: OutcomeNotCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, view.Outcome(lost[i]), "%d", i)
	}
	require.Equal(t, OutcomeNotCommitted, view.Outcome(change(view.Config.Revision, view.Config.Revision+1, "next")))
	require.Equal(t, OutcomeNotCommitted, view.Outcome(change(view.Config.Revision+9, view.Config.Revision+10, "from nowhere")))
	require.Less(t, len(store.Snapshot()), 20<<10, "the history's bound")
}

func TestHistory_RevisionThatNeverWas_NotCommitted(t *testing.T) {
	store := NewStore(Options{History: true})
	require.NoError(t, store.Update(EncodeEvent(change(0, 5, "a"))))
	require.NoError(t, store.Update(EncodeEvent(change(5, 9, "b"))))
	require.Equal(t, OutcomeNotCommitted, store.View().Outcome(change(7, 9, "b")))
}

func TestHistory_RepeatWithOtherSpacing_IsTheSameChange(t *testing.T) {
	store := NewStore(Options{History: true})
	require.NoError(t, store.Update(EncodeEvent(NewPatchConfig(0, []byte(`{"revision":3,"upsert":{"x":[1,2.50]}}`)))))
	view := store.View()
	spaced := "{ \"upsert\" : {\"x\":[ 1, 2.50 ]},\n \"revision\":3 }"
	require.Equal(t, OutcomeCommitted, view.Outcome(NewPatchConfig(0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, view.Outcome(NewPutConfig(0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, view.Outcome(NewPatchConfig(0, []byte(`{"revision":3,"upsert":{"x":[1,2.5]}}`))), "read back it would differ")
}

func TestHistory_SnapshotWithoutOne_LeavesOlderChangesUnknown(t *testing.T) {
	plain := NewStore(Options{})
	require.NoError(t, plain.Update(EncodeEvent(change(0, 5, "a"))))
	store := NewStore(Options{History: true})
	require.NoError(t, store.Restore(plain.Snapshot()))
	require.Equal(t, OutcomeUnknown, store.View().Outcome(change(0, 5, "a")))
	require.Equal(t, OutcomeNotCommitted, store.View().Outcome(change(5, 6, "b")))
}

func TestHistory_EntryWithoutDigest_IsRemembered(t *testing.T) {
	event := change(0, 5, "a")
	event.Digest = nil
	store := NewStore(Options{History: true})
	require.NoError(t, store.Update(EncodeEvent(event)))
	require.Equal(t, OutcomeCommitted, store.View().Outcome(change(0, 5, "a")))
}

func TestStore_WithoutHistory_DropsThatOfASnapshot(t *testing.T) {
	store := NewStore(Options{Monotonic: true})
	require.NoError(t, store.Update(EncodeEvent(change(0, 5, "a"))))
	require.Nil(t, store.View().History)
	replicated := NewStore(Options{History: true})
	require.NoError(t, replicated.Update(EncodeEvent(change(0, 5, "a"))))
	require.NoError(t, store.Restore(replicated.Snapshot()))
	require.Nil(t, store.View().History)
}

func FuzzDecodeHistory(f *testing.F) {
	store := NewStore(Options{History: true})
	_ = store.Update(EncodeEvent(change(0, 5, "a")))
	_ = store.Update(EncodeEvent(change(5, 9, "b")))
	f.Add(store.View().History.encode())
	f.Fuzz(func(t *testing.T, packed []byte) {
		history, err := decodeHistory(packed)
		if err != nil {
			return
		}
		again, err := decodeHistory(history.encode())
		require.NoError(t, err)
		require.Equal(t, history, again)
	})
}
