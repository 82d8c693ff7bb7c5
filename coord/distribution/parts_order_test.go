package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// tables is the content of states in parts. It remembers what each source had at each position, for comparison.
type tables struct {
	random     *rand.Rand
	violations *violations

	mu sync.Mutex
	at map[Position]string // guarded by mu: the state at each position
}

func (*tables) newState() State { return newTableState() }

// first is the state that the feed has as a relay, in half of all epochs with a difference: what a new primary knows better.
func (t *tables) first(feed *Feed, epoch uint64) []byte {
	state := newTableState()
	_ = state.Restore(feed.state.Snapshot())
	if t.random.IntN(2) == 0 {
		_ = state.Update(t.change(Position{Epoch: epoch}))
	}
	return state.Snapshot()
}

func (t *tables) change(at Position) []byte {
	value := fmt.Sprintf("%d/%d", at.Epoch, at.Number)
	if t.random.IntN(3) == 0 {
		value += strings.Repeat("x", compressFromBytes)
	}
	return fmt.Appendf(nil, "part-%d=%s", t.random.IntN(5), value)
}

func (t *tables) pushed(feed *Feed, source *Source) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if source == nil || feed.source != source {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at[feed.progress.at] = string(feed.state.Snapshot())
}

// check compares a process's state with the one that the source had at its position.
func (t *tables) check(who string, mu *sync.Mutex, c *content) {
	mu.Lock()
	at, got := c.progress.at, string(c.state.Snapshot())
	mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if want, known := t.at[at]; known && want != got {
		t.violations.add("%s at %v has %.80q, the source had %.80q", who, at, got, want)
	}
}

func (t *tables) checkAll(w *cluster) {
	for i, cursor := range w.cursors {
		t.check(endName(i), &cursor.mu, &cursor.content)
	}
	for name, feed := range w.feeds {
		t.check(name, &feed.mu, &feed.content)
	}
}

func TestFollowers_PartsUnderTakeoversPartitionsRestarts_HaveWhatTheSourceHad(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			violations := &violations{}
			content := &tables{random: rand.New(rand.NewPCG(seed, 29)), violations: violations, at: map[Position]string{}}
			w := newClusterOf(ctx, seed, violations, content)
			w.takeOver("c0", true)
			for range 120 {
				w.injectFault()
				for range 4 {
					time.Sleep(time.Duration(w.random.IntN(100)) * time.Millisecond)
					content.checkAll(w)
				}
				require.Empty(t, violations.all(), "seed %d", seed)
			}
			w.mu.Lock()
			w.partitioned = map[route]bool{}
			w.mu.Unlock()
			w.takeOver("c1", true)
			time.Sleep(10 * time.Second)
			content.checkAll(w)
			require.Empty(t, violations.all(), "seed %d", seed)
			position := w.feeds["c1"].Position()
			require.Equal(t, w.epoch, position.Epoch)
			require.Len(t, w.feeds["c1"].EndFollowers(), clusterEndFollowers, "all came back to the newest source")
			require.Equal(t, position.Number, w.feeds["c1"].Acked())
			for i, cursor := range w.cursors {
				require.Equal(t, position, cursor.Position(), endName(i))
			}
		})
	}
}
