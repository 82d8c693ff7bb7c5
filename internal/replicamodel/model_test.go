package replicamodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var spec = Spec{Slots: 4, QueueLimit: 4, StepTime: 10 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillTokensPerSecond: 10000, ChunkTokens: 500, MemoryTokens: 4000}

// drain steps until the replica is idle and gives when each request's first and last token came.
func drain(k *Model) (first, last map[string]time.Duration) {
	first, last = map[string]time.Duration{}, map[string]time.Duration{}
	for {
		at, ok := k.StepEnd()
		if !ok {
			return
		}
		for _, t := range k.Step() {
			if t.Number == 1 {
				first[t.RequestID] = at
			}
			if t.Last {
				last[t.RequestID] = at
			}
		}
	}
}

func TestOneAloneTakesItsPromptAndItsTokens(t *testing.T) {
	k := New(spec)
	require.True(t, k.Offer(time.Second, Job{ID: "a", Parts: []Part{{1, 700}, {2, 300}}, OutputTokens: 5}))
	first, last := drain(k)
	require.Equal(t, time.Second+100*time.Millisecond, first["a"]) // 1000 tokens at 10,000 a second
	require.Equal(t, first["a"]+4*10*time.Millisecond, last["a"])
	require.Equal(t, Load{MemoryTokens: 1000, PrefilledTokens: 1000}, k.Load())
}

func TestKeptPartsAreNotReadAgain(t *testing.T) {
	k := New(spec)
	k.Offer(0, Job{ID: "a", Parts: []Part{{1, 700}, {2, 300}}, OutputTokens: 1})
	drain(k)
	k.Offer(time.Second, Job{ID: "b", Parts: []Part{{1, 700}, {3, 200}}, OutputTokens: 1})
	first, _ := drain(k)
	require.Equal(t, time.Second+20*time.Millisecond, first["b"])
	k.Offer(2*time.Second, Job{ID: "c", Parts: []Part{{2, 300}}, OutputTokens: 1}) // kept only behind part 1
	first, _ = drain(k)
	require.Equal(t, 2*time.Second+30*time.Millisecond, first["c"])
}

func TestABatchStepGrowsWithWhatRunsInIt(t *testing.T) {
	k := New(spec)
	for i := range 3 {
		k.Offer(0, Job{ID: fmt.Sprint(i), OutputTokens: 10})
	}
	first, last := drain(k)
	ms := time.Millisecond
	require.Equal(t, map[string]time.Duration{"0": 10 * ms, "1": 22 * ms, "2": 22 * ms}, first) // the first one's step was under way
	require.Equal(t, map[string]time.Duration{"0": 118 * ms, "1": 129 * ms, "2": 129 * ms}, last)
}

func TestALongPromptDelaysTheTokensBesideIt(t *testing.T) {
	k := New(spec)
	k.Offer(0, Job{ID: "a", OutputTokens: 4})
	at, _ := k.StepEnd()
	k.Offer(at, Job{ID: "b", Parts: []Part{{1, 1000}}, OutputTokens: 1})
	_, last := drain(k)
	require.Equal(t, 4*10*time.Millisecond+2*50*time.Millisecond, last["a"]) // two pieces of 500 tokens in between
}

func TestSlotsQueueAndUrgency(t *testing.T) {
	s := spec
	s.Slots, s.QueueLimit = 1, 2
	k := New(s)
	require.True(t, k.Offer(0, Job{ID: "a", OutputTokens: 2, Urgency: 5}))
	require.True(t, k.Offer(0, Job{ID: "b", OutputTokens: 2, Urgency: 5}))
	require.True(t, k.Offer(0, Job{ID: "c", OutputTokens: 2, Urgency: 1}))
	require.False(t, k.Offer(0, Job{ID: "d", OutputTokens: 2}))
	require.Equal(t, Load{Active: 1, Queued: 2}, k.Load())
	_, last := drain(k)
	require.Less(t, last["c"], last["b"])
	require.False(t, k.Offer(0, Job{ID: "e", Parts: []Part{{1, 4000}}, OutputTokens: 1}), "more than its memory")
}

func TestWhoLeavesFreesItsSlot(t *testing.T) {
	s := spec
	s.Slots, s.QueueLimit = 1, 1
	k := New(s)
	k.Offer(0, Job{ID: "a", Parts: []Part{{1, 2000}}, OutputTokens: 100})
	k.Offer(0, Job{ID: "b", OutputTokens: 1})
	k.Step()
	k.Cancel("a")
	_, last := drain(k)
	require.NotContains(t, last, "a")
	require.Contains(t, last, "b")
	require.Equal(t, 0, k.Load().PinnedTokens)
	require.Equal(t, 0, k.Load().MemoryTokens, "a part that was not read whole is not kept")
}

func TestThoseUnusedLongestGiveWayAndNothingBehindWhatIsGoneStays(t *testing.T) {
	k := New(spec)
	for i := range 4 {
		k.Offer(0, Job{ID: fmt.Sprint(i), Parts: []Part{{7, 500}, {uint64(10 + i), 800}}, OutputTokens: 1})
		drain(k)
	}
	read := k.Load().PrefilledTokens
	require.EqualValues(t, 500+4*800, read)
	k.Offer(0, Job{ID: "again", Parts: []Part{{7, 500}, {13, 800}}, OutputTokens: 1})
	drain(k)
	require.Equal(t, read, k.Load().PrefilledTokens, "the newest are kept")
	k.Offer(0, Job{ID: "big", Parts: []Part{{99, 1600}}, OutputTokens: 1})
	drain(k)
	k.Offer(0, Job{ID: "old", Parts: []Part{{7, 500}, {10, 800}}, OutputTokens: 1})
	drain(k)
	require.Equal(t, read+1600+800, k.Load().PrefilledTokens, "the oldest gave way, what they stood behind did not")
}

func TestWhenMemoryRunsOutTheNewestLeastUrgentIsPutBackAndReadAnew(t *testing.T) {
	s := spec
	s.MemoryTokens = 2000
	k := New(s)
	k.Offer(0, Job{ID: "a", Parts: []Part{{1, 900}}, OutputTokens: 200, Urgency: 5})
	k.Offer(0, Job{ID: "b", Parts: []Part{{2, 900}}, OutputTokens: 200, Urgency: 5})
	_, last := drain(k)
	require.Len(t, last, 2)
	require.Less(t, last["a"], last["b"])
	require.Greater(t, k.Load().PrefilledTokens, int64(1800))
}

func TestMemoryIsNeverExceededAndEndsFree(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	k := New(spec)
	now, open := time.Duration(0), map[string]bool{}
	for i := range 3000 {
		ps := []Part{{uint64(r.IntN(6)), 300}, {uint64(r.IntN(20)), 200}, {uint64(1000 + i), 1 + r.IntN(600)}}
		id := fmt.Sprint(i)
		if k.Offer(now, Job{ID: id, Parts: ps, OutputTokens: 1 + r.IntN(80), Urgency: r.IntN(3)}) {
			open[id] = true
		}
		if r.IntN(9) == 0 {
			k.Cancel(id)
			delete(open, id)
		}
		for range r.IntN(40) {
			at, ok := k.StepEnd()
			if !ok {
				break
			}
			now = at
			for _, x := range k.Step() {
				require.True(t, open[x.RequestID], "a token of %s, which had ended", x.RequestID)
				if x.Last {
					delete(open, x.RequestID)
				}
			}
			l := k.Load()
			require.LessOrEqual(t, l.MemoryTokens, spec.MemoryTokens)
			require.LessOrEqual(t, l.Active, spec.Slots)
		}
	}
	_, last := drain(k)
	for id := range last {
		delete(open, id)
	}
	require.Empty(t, open, "all that was taken ends")
	require.Equal(t, 0, k.Load().PinnedTokens)
}

func TestQueueServesInOrder(t *testing.T) {
	d := NewQueue(2, 1)
	a, _ := d.Offer(0, 30)
	b, _ := d.Offer(0, 10)
	c, ok := d.Offer(0, 10)
	require.True(t, ok)
	require.Equal(t, []time.Duration{30, 10, 20}, []time.Duration{a, b, c})
	_, ok = d.Offer(5, 10)
	require.False(t, ok)
	require.Equal(t, Load{Active: 2, Queued: 1}, d.Load(5))
	e, ok := d.Offer(10, 10)
	require.True(t, ok)
	require.Equal(t, time.Duration(30), e) // c runs until 20, a until 30
	require.Equal(t, 0, d.Outstanding(30))
}
