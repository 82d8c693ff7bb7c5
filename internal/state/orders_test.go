package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func change(base, revision int64, text string) *Event {
	return OrderEvent(Patch, base, []byte(fmt.Sprintf(`{"revision":%d,"upsert":{"x":%q}}`, revision, text)))
}

func TestARepeatIsKnownAsLongAsItIsRememberedAndUnclearAfterwards(t *testing.T) {
	const many = 3 * historyLimit
	b := NewOrderStore()
	r := rand.New(rand.NewPCG(1, 1))
	var taken, lost []*Event
	for base := int64(0); len(taken) < many; {
		next := base + 1 + r.Int64N(5)
		taken = append(taken, change(base, next, "won"))
		lost = append(lost, change(base, next, "lost"))
		require.NoError(t, b.Update(taken[len(taken)-1].Encode()))
		base = next
		if len(taken)%100 == 0 { // a restart of all from a checkpoint
			c := NewOrderStore()
			require.NoError(t, c.Restore(b.Snapshot()))
			b = c
		}
	}
	v := b.View()
	for i := range taken {
		remembered := i >= many-historyLimit
		want := map[bool]Outcome{true: OutcomeCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, v.Outcome(taken[i]), "%d", i)
		want = map[bool]Outcome{true: OutcomeNotCommitted, false: OutcomeUnknown}[remembered]
		require.Equal(t, want, v.Outcome(lost[i]), "%d", i)
	}
	require.Equal(t, OutcomeNotCommitted, v.Outcome(change(v.Config.Revision, v.Config.Revision+1, "next")))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(change(v.Config.Revision+9, v.Config.Revision+10, "from nowhere")))
	require.Less(t, len(b.Snapshot()), 20<<10, "the memory's bound")
}

func TestAnOrderOnAVersionThatNeverWasIsNotTaken(t *testing.T) {
	b := NewOrderStore()
	require.NoError(t, b.Update(change(0, 5, "a").Encode()))
	require.NoError(t, b.Update(change(5, 9, "b").Encode()))
	require.Equal(t, OutcomeNotCommitted, b.View().Outcome(change(7, 9, "b")))
}

func TestARepeatWithOtherSpacingIsTheSameOrder(t *testing.T) {
	b := NewOrderStore()
	require.NoError(t, b.Update(OrderEvent(Patch, 0, []byte(`{"revision":3,"upsert":{"x":[1,2.50]}}`)).Encode()))
	v := b.View()
	spaced := "{ \"upsert\" : {\"x\":[ 1, 2.50 ]},\n \"revision\":3 }"
	require.Equal(t, OutcomeCommitted, v.Outcome(OrderEvent(Patch, 0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(OrderEvent(Put, 0, []byte(spaced))))
	require.Equal(t, OutcomeNotCommitted, v.Outcome(OrderEvent(Patch, 0, []byte(`{"revision":3,"upsert":{"x":[1,2.5]}}`))), "read back it would differ")
}

func TestACheckpointFromBeforeTheMemoryForgetsAllThatIsOlder(t *testing.T) {
	plain := NewStore(false)
	require.NoError(t, plain.Update(change(0, 5, "a").Encode()))
	b := NewOrderStore()
	require.NoError(t, b.Restore(plain.Snapshot()))
	require.Equal(t, OutcomeUnknown, b.View().Outcome(change(0, 5, "a")))
	require.Equal(t, OutcomeNotCommitted, b.View().Outcome(change(5, 6, "b")))
}

func TestEntriesOfOlderLogsAreRemembered(t *testing.T) {
	e := change(0, 5, "a")
	e.Digest = nil
	b := NewOrderStore()
	require.NoError(t, b.Update(e.Encode()))
	require.Equal(t, OutcomeCommitted, b.View().Outcome(change(0, 5, "a")))
}

func TestABookThatDecidesNothingRemembersNothing(t *testing.T) {
	b := NewStore(true)
	require.NoError(t, b.Update(change(0, 5, "a").Encode()))
	require.Nil(t, b.View().History)
	decides := NewOrderStore()
	require.NoError(t, decides.Update(change(0, 5, "a").Encode()))
	require.NoError(t, b.Restore(decides.Snapshot()))
	require.Nil(t, b.View().History)
}

func FuzzOrders(f *testing.F) {
	b := NewOrderStore()
	_ = b.Update(change(0, 5, "a").Encode())
	_ = b.Update(change(5, 9, "b").Encode())
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
