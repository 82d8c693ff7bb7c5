package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransfer_ChunksLost_Completes takes a large state to a new replica, through lost parts.
func TestTransfer_ChunksLost_Completes(t *testing.T) {
	net := newNetwork(t, 1, "a", "b", "c")
	net.limits.SnapshotChunkBytes = 1000
	net.limits.EntryCacheBytes = 10
	net.startAll()
	net.run(2 * time.Second)
	large := strings.Repeat("x", 50_000)
	primary := net.commit(large)
	lost := map[int64]bool{}
	net.drop = func(_ *node, m Message) bool {
		part, is := m.(SnapshotChunk)
		if !is || part.Offset%10_000 != 0 || lost[part.Offset] {
			return false
		}
		lost[part.Offset] = true
		return true
	}
	backup := net.node(primary.core.View().Backups[0])
	backup.stop()
	require.Equal(t, Committed, primary.outcome(primary.proposeText("second")))
	require.Len(t, lost, 6)
	backup.start()
	primary.stop()
	net.run(5 * time.Second)
	net.holds(large + ";second;")
}

// TestTransfer_ReplicaUpToDate_SendsNoSnapshot makes a new view with replicas that are up to date: no snapshot goes over the wire.
func TestTransfer_ReplicaUpToDate_SendsNoSnapshot(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit(strings.Repeat("x", 100_000))
	backup := net.node(primary.core.View().Backups[0])
	sent := 0
	net.drop = func(_ *node, m Message) bool {
		if part, is := m.(SnapshotChunk); is {
			sent += len(part.Data)
		}
		return false
	}
	epoch := primary.core.View().Epoch
	backup.stop()
	backup.start()
	net.run(time.Second)
	require.Greater(t, primary.core.View().Epoch, epoch)
	require.Less(t, sent, 1000)
	net.commit("second")
}

// TestTransfer_SlowLink_SendsNoChunkTwice gives a large state over links of several rates.
func TestTransfer_SlowLink_SendsNoChunkTwice(t *testing.T) {
	for _, rate := range []int{8 << 20, 1 << 20, 448 << 10, 256 << 10, 128 << 10} {
		t.Run(fmt.Sprint(rate>>10, " KiB a second"), func(t *testing.T) {
			net := startedNetwork(t, 1, "a", "b", "c")
			size := 300 << 10
			primary := net.commit(strings.Repeat("x", size))
			sent := 0
			net.drop = func(_ *node, m Message) bool {
				if part, is := m.(SnapshotChunk); is {
					sent += len(part.Data)
				}
				return false
			}
			net.rate = rate
			net.node(primary.core.View().Backups[0]).stop()
			begun := net.now
			for len(primary.core.View().Backups) == 0 || !net.node(primary.core.View().Backups[0]).up || !primary.primary {
				net.run(10 * time.Millisecond)
				require.Less(t, net.now-begun, 10*time.Second)
			}
			t.Logf("taken in after %v, %d bytes sent", net.now-begun, sent)
			require.Less(t, sent, size+size/4)
			net.commit("second")
		})
	}
}

// TestTransfer_ManyEntries_SendsShorterStream: many entries may be longer than the complete state.
func TestTransfer_ManyEntries_SendsShorterStream(t *testing.T) {
	net := startedNetwork(t, 1, "a", "b", "c")
	primary := net.commit("first")
	c := primary.core
	c.change = &viewChange{}
	held := c.state.position
	for range 3 {
		entry := Entry{Index: c.state.position.Index + 1, Previous: c.state.position.Digest, Data: make([]byte, 3000)}
		c.state.add(entry, c.limits.EntryCacheBytes)
	}
	c.state.tail = nil
	c.state.applied = c.state.position
	require.Zero(t, c.streamFor(held).since, "the complete state is a few bytes")
	require.Equal(t, held, c.streamSince(held, nil).since)
	last := c.state.cachedEntries[len(c.state.cachedEntries)-1]
	require.NotZero(t, c.streamFor(Position{Index: last.Index - 1, Digest: last.Previous}).since, "one entry is not worth a look")
}
