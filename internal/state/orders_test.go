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
	const many = 3 * ordersRemembered
	b := NewOrderBook()
	r := rand.New(rand.NewPCG(1, 1))
	var taken, lost []*Event
	for base := int64(0); len(taken) < many; {
		next := base + 1 + r.Int64N(5)
		taken = append(taken, change(base, next, "won"))
		lost = append(lost, change(base, next, "lost"))
		require.NoError(t, b.Fold(taken[len(taken)-1].Encode()))
		base = next
		if len(taken)%100 == 0 { // a restart of all from a checkpoint
			c := NewOrderBook()
			require.NoError(t, c.Restore(b.Checkpoint()))
			b = c
		}
	}
	v := b.View()
	for i := range taken {
		remembered := i >= many-ordersRemembered
		want := map[bool]Verdict{true: Taken, false: Forgotten}[remembered]
		require.Equal(t, want, v.Verdict(taken[i]), "%d", i)
		want = map[bool]Verdict{true: NotTaken, false: Forgotten}[remembered]
		require.Equal(t, want, v.Verdict(lost[i]), "%d", i)
	}
	require.Equal(t, NotTaken, v.Verdict(change(v.Doc.Epoch, v.Doc.Epoch+1, "next")))
	require.Equal(t, NotTaken, v.Verdict(change(v.Doc.Epoch+9, v.Doc.Epoch+10, "from nowhere")))
	require.Less(t, len(b.Checkpoint()), 20<<10, "the memory's bound")
}

func TestAnOrderOnAVersionThatNeverWasIsNotTaken(t *testing.T) {
	b := NewOrderBook()
	require.NoError(t, b.Fold(change(0, 5, "a").Encode()))
	require.NoError(t, b.Fold(change(5, 9, "b").Encode()))
	require.Equal(t, NotTaken, b.View().Verdict(change(7, 9, "b")))
}

func TestARepeatWithOtherSpacingIsTheSameOrder(t *testing.T) {
	b := NewOrderBook()
	require.NoError(t, b.Fold(OrderEvent(Patch, 0, []byte(`{"revision":3,"upsert":{"x":[1,2.50]}}`)).Encode()))
	v := b.View()
	spaced := "{ \"upsert\" : {\"x\":[ 1, 2.50 ]},\n \"revision\":3 }"
	require.Equal(t, Taken, v.Verdict(OrderEvent(Patch, 0, []byte(spaced))))
	require.Equal(t, NotTaken, v.Verdict(OrderEvent(Put, 0, []byte(spaced))))
	require.Equal(t, NotTaken, v.Verdict(OrderEvent(Patch, 0, []byte(`{"revision":3,"upsert":{"x":[1,2.5]}}`))), "read back it would differ")
}

func TestACheckpointFromBeforeTheMemoryForgetsAllThatIsOlder(t *testing.T) {
	plain := NewBook(false)
	require.NoError(t, plain.Fold(change(0, 5, "a").Encode()))
	b := NewOrderBook()
	require.NoError(t, b.Restore(plain.Checkpoint()))
	require.Equal(t, Forgotten, b.View().Verdict(change(0, 5, "a")))
	require.Equal(t, NotTaken, b.View().Verdict(change(5, 6, "b")))
}

func TestEntriesOfOlderLogsAreRemembered(t *testing.T) {
	e := change(0, 5, "a")
	e.Digest = nil
	b := NewOrderBook()
	require.NoError(t, b.Fold(e.Encode()))
	require.Equal(t, Taken, b.View().Verdict(change(0, 5, "a")))
}

func TestABookThatDecidesNothingRemembersNothing(t *testing.T) {
	b := NewBook(true)
	require.NoError(t, b.Fold(change(0, 5, "a").Encode()))
	require.Nil(t, b.View().Orders)
	decides := NewOrderBook()
	require.NoError(t, decides.Fold(change(0, 5, "a").Encode()))
	require.NoError(t, b.Restore(decides.Checkpoint()))
	require.Nil(t, b.View().Orders)
}

func FuzzOrders(f *testing.F) {
	b := NewOrderBook()
	_ = b.Fold(change(0, 5, "a").Encode())
	_ = b.Fold(change(5, 9, "b").Encode())
	f.Add(b.View().Orders.encode())
	f.Fuzz(func(t *testing.T, packed []byte) {
		o, err := decodeOrders(packed)
		if err != nil {
			return
		}
		again, err := decodeOrders(o.encode())
		require.NoError(t, err)
		require.Equal(t, o, again)
	})
}
