package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestATransferInParts takes a large state to a new copy, through lost parts.
func TestATransferInParts(t *testing.T) {
	w := newWorld(t, 1, "a", "b", "c")
	w.limits.SnapshotChunkBytes = 1000
	w.limits.EntryCacheBytes = 10
	w.startAll()
	w.run(2 * time.Second)
	large := strings.Repeat("x", 50_000)
	p := w.commit(large)
	lost := map[int64]bool{}
	w.drop = func(_ *node, m Message) bool {
		part, is := m.(SnapshotChunk)
		if !is || part.Offset%10_000 != 0 || lost[part.Offset] {
			return false
		}
		lost[part.Offset] = true
		return true
	}
	backup := w.node(p.core.View().Backups[0])
	backup.stop()
	require.Equal(t, Committed, p.outcome(p.orderText("second")))
	require.Len(t, lost, 6)
	backup.start()
	p.stop()
	w.run(5 * time.Second)
	w.holds(large + ";second;")
}

// TestOnlyWhatIsMissingIsSent makes a new view with copies that are up to date: no snapshot goes over the wire.
func TestOnlyWhatIsMissingIsSent(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit(strings.Repeat("x", 100_000))
	backup := w.node(p.core.View().Backups[0])
	sent := 0
	w.drop = func(_ *node, m Message) bool {
		if part, is := m.(SnapshotChunk); is {
			sent += len(part.Data)
		}
		return false
	}
	epoch := p.core.View().Epoch
	backup.stop()
	backup.start()
	w.run(time.Second)
	require.Greater(t, p.core.View().Epoch, epoch)
	require.Less(t, sent, 1000)
	w.commit("second")
}

// TestASlowLinkIsNotSentTheSameAgain gives a large state over links of several rates.
func TestASlowLinkIsNotSentTheSameAgain(t *testing.T) {
	for _, rate := range []int{8 << 20, 1 << 20, 448 << 10, 256 << 10, 128 << 10} {
		t.Run(fmt.Sprint(rate>>10, " KiB a second"), func(t *testing.T) {
			w := startedWorld(t, 1, "a", "b", "c")
			size := 300 << 10
			p := w.commit(strings.Repeat("x", size))
			sent := 0
			w.drop = func(_ *node, m Message) bool {
				if part, is := m.(SnapshotChunk); is {
					sent += len(part.Data)
				}
				return false
			}
			w.rate = rate
			w.node(p.core.View().Backups[0]).stop()
			begun := w.now
			for len(p.core.View().Backups) == 0 || !w.node(p.core.View().Backups[0]).up || !p.primary {
				w.run(10 * time.Millisecond)
				require.Less(t, w.now-begun, 10*time.Second)
			}
			t.Logf("taken in after %v, %d bytes sent", w.now-begun, sent)
			require.Less(t, sent, size+size/4)
			w.commit("second")
		})
	}
}

// TestTheShorterStreamIsSent: many entries may be longer than the whole state.
func TestTheShorterStreamIsSent(t *testing.T) {
	w := startedWorld(t, 1, "a", "b", "c")
	p := w.commit("first")
	c := p.core
	c.change = &viewChange{}
	held := c.state.position
	for range 3 {
		entry := Entry{Index: c.state.position.Index + 1, Previous: c.state.position.Digest, Data: make([]byte, 3000)}
		c.state.add(entry, c.limits.EntryCacheBytes)
	}
	c.state.tail = nil
	c.state.applied = c.state.position
	require.Zero(t, c.streamFor(held).since, "the whole state is a few bytes")
	require.Equal(t, held, c.streamSince(held, nil).since)
	last := c.state.recent[len(c.state.recent)-1]
	require.NotZero(t, c.streamFor(Position{Index: last.Index - 1, Digest: last.Previous}).since, "one entry is not worth a look")
}
