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
func drain(model *Model) (first, last map[string]time.Duration) {
	first, last = map[string]time.Duration{}, map[string]time.Duration{}
	for {
		at, ok := model.StepEnd()
		if !ok {
			return first, last
		}
		for _, t := range model.Step() {
			if t.Number == 1 {
				first[t.RequestID] = at
			}
			if t.Last {
				last[t.RequestID] = at
			}
		}
	}
}

func TestStep_OneRequest_PromptThenTokens(t *testing.T) {
	model := New(spec)
	require.True(t, model.Offer(time.Second, Job{ID: "a", Parts: []Part{{1, 700}, {2, 300}}, OutputTokens: 5}))
	first, last := drain(model)
	require.Equal(t, time.Second+100*time.Millisecond, first["a"]) // 1000 tokens at 10,000 a second
	require.Equal(t, first["a"]+4*10*time.Millisecond, last["a"])
	require.Equal(t, Load{MemoryTokens: 1000, PrefilledTokens: 1000}, model.Load())
}

func TestOffer_CachedParts_NotPrefilledAgain(t *testing.T) {
	model := New(spec)
	model.Offer(0, Job{ID: "a", Parts: []Part{{1, 700}, {2, 300}}, OutputTokens: 1})
	drain(model)
	model.Offer(time.Second, Job{ID: "b", Parts: []Part{{1, 700}, {3, 200}}, OutputTokens: 1})
	first, _ := drain(model)
	require.Equal(t, time.Second+20*time.Millisecond, first["b"])
	model.Offer(2*time.Second, Job{ID: "c", Parts: []Part{{2, 300}}, OutputTokens: 1}) // cached only behind part 1
	first, _ = drain(model)
	require.Equal(t, 2*time.Second+30*time.Millisecond, first["c"])
}

func TestStep_SeveralRequests_TakesLonger(t *testing.T) {
	model := New(spec)
	for i := range 3 {
		model.Offer(0, Job{ID: fmt.Sprint(i), OutputTokens: 10})
	}
	first, last := drain(model)
	ms := time.Millisecond
	require.Equal(t, map[string]time.Duration{"0": 10 * ms, "1": 22 * ms, "2": 22 * ms}, first) // the first one's step was under way
	require.Equal(t, map[string]time.Duration{"0": 118 * ms, "1": 129 * ms, "2": 129 * ms}, last)
}

func TestStep_LongPrompt_DelaysOtherTokens(t *testing.T) {
	model := New(spec)
	model.Offer(0, Job{ID: "a", OutputTokens: 4})
	at, _ := model.StepEnd()
	model.Offer(at, Job{ID: "b", Parts: []Part{{1, 1000}}, OutputTokens: 1})
	_, last := drain(model)
	require.Equal(t, 4*10*time.Millisecond+2*50*time.Millisecond, last["a"]) // two pieces of 500 tokens in between
}

func TestOffer_SlotsAndQueueFull_RejectedAndUrgentFirst(t *testing.T) {
	small := spec
	small.Slots, small.QueueLimit = 1, 2
	model := New(small)
	require.True(t, model.Offer(0, Job{ID: "a", OutputTokens: 2, Urgency: 5}))
	require.True(t, model.Offer(0, Job{ID: "b", OutputTokens: 2, Urgency: 5}))
	require.True(t, model.Offer(0, Job{ID: "c", OutputTokens: 2, Urgency: 1}))
	require.False(t, model.Offer(0, Job{ID: "d", OutputTokens: 2}))
	require.Equal(t, Load{Active: 1, Queued: 2}, model.Load())
	_, last := drain(model)
	require.Less(t, last["c"], last["b"])
	require.False(t, model.Offer(0, Job{ID: "e", Parts: []Part{{1, 4000}}, OutputTokens: 1}), "more than its memory")
}

func TestCancel_RunningRequest_SlotAndMemoryFreed(t *testing.T) {
	small := spec
	small.Slots, small.QueueLimit = 1, 1
	model := New(small)
	model.Offer(0, Job{ID: "a", Parts: []Part{{1, 2000}}, OutputTokens: 100})
	model.Offer(0, Job{ID: "b", OutputTokens: 1})
	model.Step()
	model.Cancel("a")
	_, last := drain(model)
	require.NotContains(t, last, "a")
	require.Contains(t, last, "b")
	require.Equal(t, 0, model.Load().PinnedTokens)
	require.Equal(t, 0, model.Load().MemoryTokens, "a part that was not prefilled to its end is not cached")
}

func TestOffer_CacheFull_LeastRecentlyUsedEvicted(t *testing.T) {
	model := New(spec)
	for i := range 4 {
		model.Offer(0, Job{ID: fmt.Sprint(i), Parts: []Part{{7, 500}, {uint64(10 + i), 800}}, OutputTokens: 1})
		drain(model)
	}
	read := model.Load().PrefilledTokens
	require.EqualValues(t, 500+4*800, read)
	model.Offer(0, Job{ID: "again", Parts: []Part{{7, 500}, {13, 800}}, OutputTokens: 1})
	drain(model)
	require.Equal(t, read, model.Load().PrefilledTokens, "the newest are cached")
	model.Offer(0, Job{ID: "big", Parts: []Part{{99, 1600}}, OutputTokens: 1})
	drain(model)
	model.Offer(0, Job{ID: "old", Parts: []Part{{7, 500}, {10, 800}}, OutputTokens: 1})
	drain(model)
	require.Equal(t, read+1600+800, model.Load().PrefilledTokens, "the oldest are evicted, their prefix is not")
}

func TestStep_MemoryFull_NewestLeastUrgentPreempted(t *testing.T) {
	small := spec
	small.MemoryTokens = 2000
	model := New(small)
	model.Offer(0, Job{ID: "a", Parts: []Part{{1, 900}}, OutputTokens: 200, Urgency: 5})
	model.Offer(0, Job{ID: "b", Parts: []Part{{2, 900}}, OutputTokens: 200, Urgency: 5})
	_, last := drain(model)
	require.Len(t, last, 2)
	require.Less(t, last["a"], last["b"])
	require.Greater(t, model.Load().PrefilledTokens, int64(1800))
}

func TestModel_RandomRequests_MemoryNeverExceededAndFreed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	model := New(spec)
	now, open := time.Duration(0), map[string]bool{}
	for i := range 3000 {
		parts := []Part{{uint64(random.IntN(6)), 300}, {uint64(random.IntN(20)), 200}, {uint64(1000 + i), 1 + random.IntN(600)}}
		id := fmt.Sprint(i)
		if model.Offer(now, Job{ID: id, Parts: parts, OutputTokens: 1 + random.IntN(80), Urgency: random.IntN(3)}) {
			open[id] = true
		}
		if random.IntN(9) == 0 {
			model.Cancel(id)
			delete(open, id)
		}
		for range random.IntN(40) {
			at, ok := model.StepEnd()
			if !ok {
				break
			}
			now = at
			for _, token := range model.Step() {
				require.True(t, open[token.RequestID], "a token of %s, which had ended", token.RequestID)
				if token.Last {
					delete(open, token.RequestID)
				}
			}
			l := model.Load()
			require.LessOrEqual(t, l.MemoryTokens, spec.MemoryTokens)
			require.LessOrEqual(t, l.Active, spec.Slots)
		}
	}
	_, last := drain(model)
	for id := range last {
		delete(open, id)
	}
	require.Empty(t, open, "every accepted request ends")
	require.Equal(t, 0, model.Load().PinnedTokens)
}

func TestQueue_SeveralRequests_ServedInOrder(t *testing.T) {
	queue := NewQueue(2, 1)
	a, _ := queue.Offer(0, 30)
	b, _ := queue.Offer(0, 10)
	c, ok := queue.Offer(0, 10)
	require.True(t, ok)
	require.Equal(t, []time.Duration{30, 10, 20}, []time.Duration{a, b, c})
	_, ok = queue.Offer(5, 10)
	require.False(t, ok)
	require.Equal(t, Load{Active: 2, Queued: 1}, queue.Load(5))
	e, ok := queue.Offer(10, 10)
	require.True(t, ok)
	require.Equal(t, time.Duration(30), e) // c runs until 20, a until 30
	require.Equal(t, 0, queue.Outstanding(30))
}
