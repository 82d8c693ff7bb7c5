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
	b := NewStore(Options{History: true})
	r := rand.New(rand.NewPCG(1, 1))
	var committed, lost []PatchConfig
	for base := int64(0); len(committed) < many; {
		next := base + 1 + r.Int64N(5)
		committed = append(committed, change(base, next, "won"))
		lost = append(lost, change(base, next, "lost"))
		require.NoError(t, b.Update(EncodeEvent(committed[len(committed)-1])))
		base = next
		if len(committed)%100 == 0 { // a restart of all from a checkpoint
			c := NewStore(Options{History: true})
			require.NoError(t, c.Restore(b.Snapshot()))
			b = c
		}
	}
	v := b.View()
	for i := range committed {
		remembered := i >= many-historyLimit
		want := map[bool]Outcome{true: OutcomeCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, v.Outcome(committed[i]), "%d", i)
		want = map[bool]Outcome{true: OutcomeNotCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, v.Outcome(lost[i]), "%d", i)
	}
	require.Equal(t, OutcomeNotCommitted, v.Outcome(change(v.Config.Revision, v.Config.Revision+1, "next")))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(change(v.Config.Revision+9, v.Config.Revision+10, "from nowhere")))
	require.Less(t, len(b.Snapshot()), 20<<10, "the history's bound")
}

func TestHistory_RevisionThatNeverWas_NotCommitted(t *testing.T) {
	b := NewStore(Options{History: true})
	require.NoError(t, b.Update(EncodeEvent(change(0, 5, "a"))))
	require.NoError(t, b.Update(EncodeEvent(change(5, 9, "b"))))
	require.Equal(t, OutcomeNotCommitted, b.View().Outcome(change(7, 9, "b")))
}

func TestHistory_RepeatWithOtherSpacing_IsTheSameChange(t *testing.T) {
	b := NewStore(Options{History: true})
	require.NoError(t, b.Update(EncodeEvent(NewPatchConfig(0, []byte(`{"revision":3,"upsert":{"x":[1,2.50]}}`)))))
	v := b.View()
	spaced := "{ \"upsert\" : {\"x\":[ 1, 2.50 ]},\n \"revision\":3 }"
	require.Equal(t, OutcomeCommitted, v.Outcome(NewPatchConfig(0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(NewPutConfig(0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(NewPatchConfig(0, []byte(`{"revision":3,"upsert":{"x":[1,2.5]}}`))), "read back it would differ")
}

func TestHistory_SnapshotWithoutOne_LeavesOlderChangesUnknown(t *testing.T) {
	plain := NewStore(Options{})
	require.NoError(t, plain.Update(EncodeEvent(change(0, 5, "a"))))
	b := NewStore(Options{History: true})
	require.NoError(t, b.Restore(plain.Snapshot()))
	require.Equal(t, OutcomeUnknown, b.View().Outcome(change(0, 5, "a")))
	require.Equal(t, OutcomeNotCommitted, b.View().Outcome(change(5, 6, "b")))
}

func TestHistory_EntryWithoutDigest_IsRemembered(t *testing.T) {
	e := change(0, 5, "a")
	e.Digest = nil
	b := NewStore(Options{History: true})
	require.NoError(t, b.Update(EncodeEvent(e)))
	require.Equal(t, OutcomeCommitted, b.View().Outcome(change(0, 5, "a")))
}

func TestStore_WithoutHistory_DropsThatOfASnapshot(t *testing.T) {
	b := NewStore(Options{Monotonic: true})
	require.NoError(t, b.Update(EncodeEvent(change(0, 5, "a"))))
	require.Nil(t, b.View().History)
	decides := NewStore(Options{History: true})
	require.NoError(t, decides.Update(EncodeEvent(change(0, 5, "a"))))
	require.NoError(t, b.Restore(decides.Snapshot()))
	require.Nil(t, b.View().History)
}

func FuzzDecodeHistory(f *testing.F) {
	b := NewStore(Options{History: true})
	_ = b.Update(EncodeEvent(change(0, 5, "a")))
	_ = b.Update(EncodeEvent(change(5, 9, "b")))
	f.Add(b.View().History.encode())
	f.Fuzz(func(t *testing.T, packed []byte) {
		o, err := decodeHistory(packed)
		if err != nil {
			return
		}
		again, err := decodeHistory(o.encode())
		require.NoError(t, err)
		require.Equal(t, o, again)
	})
}
